//! The immutable snapshot of the state that requests read.

use std::collections::HashMap;
use std::sync::Arc;

use catalog::{RolloutPhase, Snapshot};
use kernel::Incarnation;
use member::Member;
use policy::QualityEstimates;
use upstream::PoolMap;

/// Identifies the state of a policy in a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PolicyKey {
    /// The name of the workspace.
    pub(crate) workspace: Arc<str>,
    /// The name of the policy.
    pub(crate) policy: Arc<str>,
}

/// The state of a policy in a workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct PolicyState {
    /// The estimated quality of versions, from ratings.
    pub(crate) estimates: Arc<QualityEstimates>,
    /// The price of quality, in millionths of the currency unit for one good answer.
    pub(crate) quality_price_micros: f64,
}

/// The part of the state of a roll-out that requests use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RolloutView {
    /// The share of traffic sent to the unproven version, from 0 to 1.
    pub(crate) share: f64,
    /// The maximum number of unrated requests to it from this instance.
    pub(crate) allowance: u32,
}

/// A consistent snapshot of everything that requests read.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// The configuration in force.
    pub(crate) snapshot: Arc<Snapshot>,
    /// The endpoint pools.
    pub(crate) pools: PoolMap,
    /// The entry instances that are not dead.
    pub(crate) members: Arc<Vec<Member>>,
    /// The policy states, by workspace and policy.
    pub(crate) policy_states: HashMap<PolicyKey, PolicyState>,
    /// This instance's share of the quota of each workspace, in requests per second.
    pub(crate) quota_rates_per_s: HashMap<Arc<str>, f64>,
    /// The roll-outs, by name.
    pub(crate) rollouts: HashMap<Arc<str>, RolloutView>,
    /// Whether the instance accepts new requests.
    pub(crate) serving: bool,
    /// Whether a configuration was received from a peer or the store.
    pub(crate) configured: bool,
}

impl View {
    /// Returns the number of live instances, at least 1.
    pub(crate) fn instance_count(&self) -> usize {
        self.members.len().max(1)
    }

    /// Finds an instance by incarnation.
    pub(crate) fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.incarnation == incarnation)
    }

    /// Returns whether the roll-out to a version passed all its steps.
    pub(crate) fn rollout_done(&self, version: &str) -> bool {
        let Some(rollout) = self.snapshot.rollout_to(version) else {
            return false;
        };
        let status = self.snapshot.rollout_statuses.get(&rollout.name);
        status.is_some_and(|status| status.phase == RolloutPhase::Done)
    }
}
