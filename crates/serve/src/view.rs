//! Immutable snapshot of configuration, endpoints and roll-outs.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Incarnation;
use limits::ZoneEvacuation;
use member::Member;
use route::Table;

use crate::endpoint::Endpoint;

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutStage {
    /// This share of all sessions tries the new version.
    Trial(f64),
    /// This share of all sessions goes to the new version.
    Ramping(f64),
    /// All sessions go to the new version.
    Done,
    /// No session goes to the new version.
    Withdrawn,
}

impl RolloutStage {
    /// Returns the share of all sessions that go to the new version.
    fn share(self) -> f64 {
        match self {
            RolloutStage::Trial(share) | RolloutStage::Ramping(share) => share,
            RolloutStage::Done => 1.0,
            RolloutStage::Withdrawn => 0.0,
        }
    }
}

/// State of a roll-out, as needed to choose endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// Version that traffic moves to.
    pub target: Arc<str>,
    /// Progress of the roll-out.
    pub stage: RolloutStage,
}

/// The endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// Endpoints that take new requests.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// Roll-out of the service, if there is one.
    pub rollout: Option<RolloutView>,
}

/// Snapshot that the handling of requests reads.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Number of the snapshot, which increases with each one.
    pub generation: u64,
    /// Configuration, or `None` until it is loaded.
    pub table: Option<Arc<Table>>,
    /// Revision of the configuration in the store.
    pub table_revision: u64,
    /// Endpoints by service.
    pub pools: HashMap<Arc<str>, Arc<Pool>>,
    /// Number of instances that share the load.
    pub instance_count: usize,
    /// The instances among which the rate limits of endpoints are divided.
    pub members: Arc<Vec<Member>>,
    /// This instance, if it is among the members.
    pub incarnation: Option<Incarnation>,
    /// Whether this instance accepts new requests.
    pub accepting: bool,
    /// Whether the store was unreachable when the snapshot was taken.
    pub store_unreachable: bool,
    /// Evacuations by zone, also those that ended until all traffic has returned.
    pub evacuations: Arc<BTreeMap<Arc<str>, ZoneEvacuation>>,
    /// Whether requests must wait until it is known which zones are evacuated.
    pub awaits_evacuations: bool,
    /// Regions by zone.
    pub regions: Arc<BTreeMap<Arc<str>, Arc<str>>>,
}

impl View {
    /// Returns whether a later run than one that started at a time, in milliseconds since the Unix epoch,
    /// listens at its address. The earlier one has ended then.
    pub(crate) fn has_successor(&self, addr: SocketAddr, started_ms: Option<u64>) -> bool {
        let mut listed = self.endpoints();
        started_ms.is_some()
            && listed.any(|other| other.addr == addr && other.started_ms > started_ms)
    }

    /// Returns whether a roll-out replaces an endpoint.
    pub(crate) fn is_replaced(&self, endpoint: &Endpoint) -> bool {
        let pool = self.pools.get(&endpoint.service);
        pool.is_some_and(|pool| pool.is_replaced(&endpoint.version))
    }

    /// Returns the endpoints of all services.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.pools.values().flat_map(|pool| &pool.endpoints)
    }

    /// Returns how many instances rank before this one for an endpoint.
    pub(crate) fn rank_for(&self, endpoint_id: &str) -> usize {
        let Some(incarnation) = self.incarnation else {
            return 0;
        };
        let members: Vec<&Member> = self.members.iter().collect();
        member::rank(endpoint_id, incarnation, &members)
    }
}

impl Pool {
    /// Returns whether a roll-out moved all new calls to its version and has not ended.
    pub(crate) fn has_moved(&self) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.stage == RolloutStage::Ramping(1.0))
    }

    /// Returns whether a roll-out moved all new calls away from a version, whose endpoints are stopped at its end.
    pub(crate) fn is_replaced(&self, version: &Arc<str>) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.stage.share() >= 1.0 && rollout.target != *version)
    }

    /// Returns the endpoints that may run a request.
    ///
    /// `unit` is a number in `[0, 1)` that is the same for all requests of a session. Shares only
    /// grow, so that a session moves to the new version once and never back.
    pub fn eligible(&self, unit: f64) -> Vec<&Arc<Endpoint>> {
        self.eligible_among(unit, |_| true)
    }

    /// Returns a unit for each group of sessions that has the same eligible endpoints, and the share of all
    /// sessions in the group.
    pub(crate) fn session_groups(&self) -> impl Iterator<Item = (f64, f64)> + use<> {
        let rollout = self.rollout.as_ref();
        let share = rollout.map_or(0.0, |rollout| rollout.stage.share().clamp(0.0, 1.0));
        // The target's group begins at unit 0, the other one at its share.
        let groups = [(0.0, share), (share, 1.0 - share)];
        groups.into_iter().filter(|(_, size)| *size > 0.0)
    }

    /// Like [`Pool::eligible`], but as if there were only the endpoints that are open.
    pub(crate) fn eligible_among(
        &self,
        unit: f64,
        is_open: impl Fn(&Endpoint) -> bool,
    ) -> Vec<&Arc<Endpoint>> {
        let mut open: Vec<&Arc<Endpoint>> = self.endpoints.iter().collect();
        open.retain(|endpoint| is_open(endpoint));
        let Some(rollout) = &self.rollout else {
            return open;
        };
        let share = rollout.stage.share();
        let on_target = unit < share;
        let mut chosen = of_version(&open, &rollout.target, on_target);
        if on_target {
            // The share of the traffic goes to the same share of the new endpoints, so that each
            // gets its final load: some versions fail only under load.
            let loaded = (chosen.len() as f64 * share).ceil() as usize;
            chosen.truncate(loaded);
        }
        if !chosen.is_empty() || !on_target {
            return chosen;
        }
        // No endpoint runs the new version yet, or any more.
        of_version(&open, &rollout.target, false)
    }
}

fn of_version<'a>(
    endpoints: &[&'a Arc<Endpoint>],
    version: &Arc<str>,
    equal: bool,
) -> Vec<&'a Arc<Endpoint>> {
    let matches = |endpoint: &&&Arc<Endpoint>| (endpoint.version == *version) == equal;
    endpoints.iter().filter(matches).copied().collect()
}
