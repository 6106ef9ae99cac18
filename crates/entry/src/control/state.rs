//! The state of the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use catalog::{Object, Replica, RolloutPhase, Snapshot};
use member::{Member, MemberTable, MemberTableSettings};
use rollout::{Evidence, Monitor, StepController, allowance, exposure_cap};
use upstream::PoolMap;

use crate::control::policy_learner::PolicyLearner;
use crate::control::quota_shares::QuotaShares;
use crate::state::shared::Shared;
use crate::state::view::{PolicyKey, PolicyState, RolloutView, View};

/// An endpoint that has announced that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeavingEndpoint {
    pub(super) pool: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) addr: Arc<str>,
}

/// The roll-out state of one instance.
#[derive(Default)]
pub(super) struct Rollouts {
    /// The evidence from this instance, by roll-out.
    pub(super) evidence: HashMap<Arc<str>, Evidence>,
    /// The controllers of the roll-outs that this instance coordinates.
    pub(super) controllers: HashMap<Arc<str>, StepController>,
    /// The monitors that use the evidence of this instance only.
    pub(super) local: HashMap<Arc<str>, Monitor>,
    /// The roll-outs that such a monitor has stopped at this instance.
    pub(super) stopped_locally: BTreeSet<Arc<str>>,
}

/// The state of the control thread. No borrow is held across an await.
pub(super) struct ControlState {
    pub(super) shared: Arc<Shared>,
    pub(super) replica: RefCell<Replica>,
    pub(super) table: RefCell<MemberTable>,
    pub(super) quota_shares: RefCell<QuotaShares>,
    pub(super) policies: RefCell<HashMap<PolicyKey, PolicyLearner>>,
    pub(super) rollouts: RefCell<Rollouts>,
    pub(super) leaving: RefCell<BTreeSet<LeavingEndpoint>>,
    /// The time of the last contact with the store or a peer, on the monotonic clock.
    pub(super) last_contact_ms: Cell<u64>,
    pub(super) configured: Cell<bool>,
    /// The store revision up to which the local configuration is complete.
    pub(super) complete_revision: Cell<u64>,
    cut_off: Cell<bool>,
    view_outdated: Cell<bool>,
    config_outdated: Cell<bool>,
}

impl ControlState {
    pub(super) fn new(shared: Arc<Shared>, local: Member) -> ControlState {
        let settings = &shared.settings;
        let table = MemberTableSettings {
            suspect_timeout_ms: settings.suspect_ms,
            ..MemberTableSettings::default()
        };
        let now_ms = shared.clock.mono_ms();
        ControlState {
            replica: RefCell::default(),
            table: RefCell::new(MemberTable::new(local, table)),
            quota_shares: RefCell::default(),
            policies: RefCell::default(),
            rollouts: RefCell::default(),
            leaving: RefCell::default(),
            last_contact_ms: Cell::new(now_ms),
            configured: Cell::new(false),
            complete_revision: Cell::new(0),
            cut_off: Cell::new(false),
            view_outdated: Cell::new(true),
            config_outdated: Cell::new(true),
            shared,
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.shared.clock.mono_ms()
    }

    /// Records a contact with a peer or the store.
    pub(super) fn record_contact(&self) {
        self.last_contact_ms.set(self.now_ms());
    }

    /// Marks the published view as outdated.
    pub(super) fn mark_view_outdated(&self) {
        self.view_outdated.set(true);
    }

    /// Applies configuration objects, publishes them at once, and returns whether any was new.
    pub(super) fn apply_objects(&self, objects: Vec<Object>) -> bool {
        let mut fresh = false;
        for object in objects {
            // Neither changes nor peers name the era of an object here.
            let era = self.replica.borrow().era_of(object.kind());
            fresh |= self.replica.borrow_mut().apply(era, object);
        }
        if fresh {
            self.publish_config();
        }
        fresh
    }

    /// Publishes a changed configuration at once.
    pub(super) fn publish_config(&self) {
        self.config_outdated.set(true);
        self.mark_view_outdated();
        self.publish_if_outdated();
        let revision = self.replica.borrow().digest().max_revision;
        tracing::info!(revision, "config: in force");
    }

    /// Records that the configuration is complete up to a revision, after publishing it.
    pub(super) fn set_complete_revision(&self, revision: u64) {
        if revision <= self.complete_revision.get() {
            return;
        }
        self.publish_if_outdated();
        self.complete_revision.set(revision);
        self.shared
            .complete_revision
            .store(revision, Ordering::SeqCst);
    }

    /// Records that a configuration was received, even an empty one.
    pub(super) fn set_configured(&self) {
        if !self.configured.replace(true) {
            self.mark_view_outdated();
        }
    }

    /// Marks an endpoint as leaving, and returns whether it was not marked yet. The mark is never
    /// removed for that address.
    pub(super) fn mark_endpoint_leaving(&self, endpoint: LeavingEndpoint) -> bool {
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

    /// Marks the endpoints that reported in their responses that they are leaving.
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
                self.mark_endpoint_leaving(leaving);
            }
        }
    }

    /// Stops serving after `cut_off_ms` without contact with the store or any peer, until the next
    /// contact.
    pub(super) fn check_cut_off(&self) {
        let silent_ms = self.now_ms().saturating_sub(self.last_contact_ms.get());
        let cut_off = silent_ms > self.shared.settings.cut_off_ms;
        if self.cut_off.replace(cut_off) != cut_off {
            tracing::warn!(cut_off, silent_ms, "member: contact changed");
            self.mark_view_outdated();
        }
    }

    /// Publishes the view if it is outdated.
    pub(super) fn publish_if_outdated(&self) {
        if !self.view_outdated.replace(false) {
            return;
        }
        let last = self.shared.view.load_full();
        let (snapshot, pools) = self.config_view(&last);
        self.update_quota_shares(&snapshot);
        let members: Vec<Member> = self.table.borrow().live().into_iter().cloned().collect();
        let configured = self.configured.get();
        let view = View {
            rollouts: self.rollout_views(&snapshot, &members),
            snapshot,
            pools,
            members: Arc::new(members),
            policy_states: self.policy_state_views(),
            quota_rates_per_s: self.quota_shares.borrow().rates(self.now_ms()),
            serving: configured && !self.cut_off.get(),
            configured,
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Records the demand of each workspace.
    pub(super) fn record_demand(&self) {
        let requests = self.shared.quotas.request_counts().into_iter().collect();
        self.quota_shares
            .borrow_mut()
            .record_demand(&requests, self.now_ms());
    }

    fn update_quota_shares(&self, snapshot: &Snapshot) {
        let members = self.table.borrow().live().len();
        let now_ms = self.now_ms();
        self.quota_shares
            .borrow_mut()
            .set_quotas(snapshot, members, now_ms);
    }

    fn config_view(&self, last: &View) -> (Arc<Snapshot>, PoolMap) {
        if !self.config_outdated.replace(false) {
            return (last.snapshot.clone(), last.pools.clone());
        }
        let snapshot = Arc::new(Snapshot::build(&self.replica.borrow(), &last.snapshot));
        for problem in &snapshot.rejected {
            tracing::warn!("config: object rejected, {problem}");
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
        for (key, state) in self.policies.borrow_mut().iter_mut() {
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
                _ if rollouts.stopped_locally.contains(name) => 0.0,
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

    /// Sends the gauges.
    pub(super) fn send_gauges(&self) {
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
        if let Some(capacity) = self.shared.capacity.get() {
            metrics.gauge("connection.held", capacity.held_bytes());
            metrics.gauge("connection.closed", capacity.closed_idle());
            metrics.gauge("connection.refused", capacity.refused());
        }
    }
}
