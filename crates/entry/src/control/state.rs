//! The state of the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use catalog::{Object, Replica, RolloutPhase, Snapshot};
use member::{Member, MemberTable, MemberTableSettings};
use rollout::{Evidence, Monitor, StepController, allowance, exposure_cap};
use upstream::PoolMap;

use crate::control::brain::BrainState;
use crate::control::shares::Shares;
use crate::state::shared::Shared;
use crate::state::view::{PolicyKey, PolicyState, RolloutView, View};

/// An endpoint that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeavingEndpoint {
    pub(super) pool: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) addr: Arc<str>,
}

/// The roll-out state of one instance.
#[derive(Default)]
pub(super) struct Rollouts {
    /// Own evidence.
    pub(super) evidence: HashMap<Arc<str>, Evidence>,
    /// The controllers of the roll-outs that this instance moves.
    pub(super) controllers: HashMap<Arc<str>, StepController>,
    /// The tests on own evidence alone.
    pub(super) local: HashMap<Arc<str>, Monitor>,
    /// The roll-outs that own evidence stopped here.
    pub(super) stopped_here: BTreeSet<Arc<str>>,
}

/// The control state, used on one thread and never borrowed across a wait.
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) replica: RefCell<Replica>,
    pub(super) table: RefCell<MemberTable>,
    pub(super) shares: RefCell<Shares>,
    pub(super) brains: RefCell<HashMap<PolicyKey, BrainState>>,
    pub(super) rollouts: RefCell<Rollouts>,
    pub(super) leaving: RefCell<BTreeSet<LeavingEndpoint>>,
    /// When the store or a peer was heard last, on the monotonic clock.
    pub(super) heard_ms: Cell<u64>,
    pub(super) configured: Cell<bool>,
    /// The store's revision up to which nothing is missing here.
    pub(super) complete_revision: Cell<u64>,
    cut_off: Cell<bool>,
    changed: Cell<bool>,
    rebuild: Cell<bool>,
}

impl Control {
    pub(super) fn new(shared: Arc<Shared>, me: Member) -> Control {
        let settings = &shared.settings;
        let table = MemberTableSettings {
            suspect_timeout_ms: settings.suspect_ms,
            ..MemberTableSettings::default()
        };
        let now_ms = shared.clock.mono_ms();
        Control {
            replica: RefCell::default(),
            table: RefCell::new(MemberTable::new(me, table)),
            shares: RefCell::default(),
            brains: RefCell::default(),
            rollouts: RefCell::default(),
            leaving: RefCell::default(),
            heard_ms: Cell::new(now_ms),
            configured: Cell::new(false),
            complete_revision: Cell::new(0),
            cut_off: Cell::new(false),
            changed: Cell::new(true),
            rebuild: Cell::new(true),
            shared,
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.shared.clock.mono_ms()
    }

    /// Notes that a peer or the store was heard.
    pub(super) fn heard(&self) {
        self.heard_ms.set(self.now_ms());
    }

    /// Notes that the view is out of date.
    pub(super) fn touch(&self) {
        self.changed.set(true);
    }

    /// Takes configuration objects, publishes them at once, and returns whether any was new.
    pub(super) fn take_objects(&self, objects: Vec<Object>) -> bool {
        let mut fresh = false;
        for object in objects {
            fresh |= self.replica.borrow_mut().apply(object);
        }
        if fresh {
            self.config_changed();
        }
        fresh
    }

    /// Publishes a changed configuration at once.
    pub(super) fn config_changed(&self) {
        self.rebuild.set(true);
        self.touch();
        self.publish_if_changed();
        let revision = self.replica.borrow().digest().max_revision;
        tracing::info!(revision, "config: in force");
    }

    /// Notes that nothing up to a revision is missing, once all of it is published.
    pub(super) fn complete_up_to(&self, revision: u64) {
        if revision <= self.complete_revision.get() {
            return;
        }
        self.publish_if_changed();
        self.complete_revision.set(revision);
        self.shared
            .complete_revision
            .store(revision, Ordering::SeqCst);
    }

    /// Notes that a configuration was received, even an empty one.
    pub(super) fn set_configured(&self) {
        if !self.configured.replace(true) {
            self.touch();
        }
    }

    /// Notes that an endpoint is leaving, which is never taken back for its address.
    pub(super) fn endpoint_leaves(&self, endpoint: LeavingEndpoint) -> bool {
        let fresh = self.leaving.borrow_mut().insert(endpoint.clone());
        if fresh {
            tracing::info!("endpoint: {}/{} is leaving", endpoint.pool, endpoint.name);
        }
        let view = self.shared.view.load();
        if let Some(held) = view.pools.endpoint(&endpoint.pool, &endpoint.name)
            && held.addr.to_string() == *endpoint.addr
        {
            held.set_leaving();
        }
        fresh
    }

    /// Notes endpoints that said so themselves.
    pub(super) fn collect_leaving(&self) {
        let view = self.shared.view.load_full();
        for pool in view.pools.iter() {
            for endpoint in &pool.endpoints {
                if !endpoint.is_leaving() {
                    continue;
                }
                let leaving = LeavingEndpoint {
                    pool: pool.spec.name.clone(),
                    name: endpoint.name.clone(),
                    addr: endpoint.addr.to_string().into(),
                };
                self.endpoint_leaves(leaving);
            }
        }
    }

    /// Stops taking work when neither the store nor any peer was heard for long.
    pub(super) fn check_cut_off(&self) {
        let silent_ms = self.now_ms().saturating_sub(self.heard_ms.get());
        let cut_off = silent_ms > self.shared.settings.cut_off_ms;
        if self.cut_off.replace(cut_off) != cut_off {
            tracing::warn!(cut_off, silent_ms, "member: contact changed");
            self.touch();
        }
    }

    /// Publishes the view if anything changed.
    pub(super) fn publish_if_changed(&self) {
        if !self.changed.replace(false) {
            return;
        }
        let last = self.shared.view.load_full();
        let (snapshot, pools) = self.config_view(&last);
        self.adjust_shares(&snapshot);
        let members: Vec<Member> = self.table.borrow().live().into_iter().cloned().collect();
        let configured = self.configured.get();
        let view = View {
            rollouts: self.rollout_views(&snapshot, &members),
            snapshot,
            pools,
            members: Arc::new(members),
            policy_states: self.policy_state_views(),
            quota_rates_per_s: self.shares.borrow().rates(self.now_ms()),
            serving: configured && !self.cut_off.get(),
            configured,
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Notes how many requests each workspace asked for.
    pub(super) fn refresh_shares(&self) {
        let asked = self.shared.quotas.request_counts().into_iter().collect();
        self.shares.borrow_mut().refresh(&asked, self.now_ms());
    }

    fn adjust_shares(&self, snapshot: &Snapshot) {
        let members = self.table.borrow().live().len();
        let now_ms = self.now_ms();
        self.shares.borrow_mut().adjust(snapshot, members, now_ms);
    }

    fn config_view(&self, last: &View) -> (Arc<Snapshot>, PoolMap) {
        if !self.rebuild.replace(false) {
            return (last.snapshot.clone(), last.pools.clone());
        }
        let snapshot = Arc::new(Snapshot::build(&self.replica.borrow(), &last.snapshot));
        for problem in &snapshot.rejected {
            tracing::warn!("config: refused, {problem}");
        }
        let settings = &self.shared.settings;
        let pools = PoolMap::build(
            &snapshot,
            &last.pools,
            &settings.name,
            settings.endpoint_subset,
        );
        for leaving in self.leaving.borrow().iter() {
            if let Some(endpoint) = pools.endpoint(&leaving.pool, &leaving.name)
                && endpoint.addr.to_string() == *leaving.addr
            {
                endpoint.set_leaving();
            }
        }
        (snapshot, pools)
    }

    fn policy_state_views(&self) -> HashMap<PolicyKey, PolicyState> {
        let mut views = HashMap::new();
        for (key, state) in self.brains.borrow_mut().iter_mut() {
            views.insert(key.clone(), state.view());
        }
        views
    }

    fn rollout_views(
        &self,
        snapshot: &Snapshot,
        members: &[Member],
    ) -> HashMap<Arc<str>, RolloutView> {
        let rollouts = self.rollouts.borrow();
        let incarnations: Vec<_> = members.iter().map(|member| member.incarnation).collect();
        let mut views = HashMap::new();
        for (name, rollout) in &snapshot.rollouts {
            let Some(status) = snapshot.rollout_statuses.get(name) else {
                continue;
            };
            let share = match status.phase {
                _ if rollouts.stopped_here.contains(name) => 0.0,
                RolloutPhase::Stopped => 0.0,
                RolloutPhase::Done => 1.0,
                RolloutPhase::Running => rollout.steps.get(status.step).copied().unwrap_or(0.0),
            };
            let cap = exposure_cap(rollout.max_unrated, status.step);
            let allowance = allowance(cap, name, self.shared.incarnation, &incarnations);
            views.insert(name.clone(), RolloutView { share, allowance });
        }
        views
    }

    /// Sends levels as metrics.
    pub(super) fn send_levels(&self) {
        let metrics = &self.shared.metrics;
        let usage = self.shared.platform.rate_limiter().counts();
        metrics.gauge("receipt.unsaved", self.shared.outbox.unsaved_count() as u64);
        metrics.gauge("receipt.held", self.shared.peer_receipts.count() as u64);
        metrics.gauge(
            "config.revision",
            self.replica.borrow().digest().max_revision,
        );
        metrics.gauge("member.live", self.table.borrow().live().len() as u64);
        metrics.gauge("platform.reads", usage.reads);
        metrics.gauge("platform.writes", usage.writes);
        metrics.gauge("platform.refused", usage.refused);
    }
}
