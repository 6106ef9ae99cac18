//! The immutable view that requests read.

use std::collections::HashMap;
use std::sync::Arc;

use catalog::{RolloutPhase, Snapshot};
use kernel::Incarnation;
use member::Member;
use policy::QualityEstimates;
use upstream::PoolMap;

/// One policy at work for one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PolicyKey {
    /// The workspace.
    pub(crate) workspace: Arc<str>,
    /// The policy.
    pub(crate) policy: Arc<str>,
}

/// What a policy has learned for one workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct PolicyState {
    /// The ratings' lessons.
    pub(crate) estimates: Arc<QualityEstimates>,
    /// The price of quality, in millionths of the currency unit for one good answer.
    pub(crate) quality_price_micros: f64,
}

/// The state of one roll-out as requests see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RolloutView {
    /// The share of traffic for the unproven version.
    pub(crate) share: f64,
    /// The most unrated requests on it from this instance.
    pub(crate) allowance: u32,
}

/// Everything that requests read, as of one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// The configuration in force.
    pub(crate) snapshot: Arc<Snapshot>,
    /// The endpoints.
    pub(crate) pools: PoolMap,
    /// The entry instances that are not dead.
    pub(crate) members: Arc<Vec<Member>>,
    /// The policies' state, by workspace and policy.
    pub(crate) policy_states: HashMap<PolicyKey, PolicyState>,
    /// The quota share of this instance by workspace, in requests a second.
    pub(crate) quota_rates_per_s: HashMap<Arc<str>, f64>,
    /// The roll-outs, by name.
    pub(crate) rollouts: HashMap<Arc<str>, RolloutView>,
    /// Whether the instance takes new work.
    pub(crate) serving: bool,
    /// Whether a peer or the store gave the configuration at all.
    pub(crate) configured: bool,
}

impl View {
    /// Returns the number of live instances.
    pub(crate) fn instance_count(&self) -> usize {
        self.members.len().max(1)
    }

    /// Finds an instance by incarnation.
    pub(crate) fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.incarnation == incarnation)
    }

    /// Returns whether a roll-out to a version ended well.
    pub(crate) fn rollout_done(&self, version: &str) -> bool {
        let Some(rollout) = self.snapshot.rollout_to(version) else {
            return false;
        };
        let status = self.snapshot.rollout_statuses.get(&rollout.name);
        status.is_some_and(|status| status.phase == RolloutPhase::Done)
    }
}
