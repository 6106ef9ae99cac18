//! The interface of routing policies.

use std::sync::Arc;

use kernel::{Plugin, UnknownPlugin};

use crate::quality::QualityEstimates;

/// A version that the request may run on.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: Arc<str>,
    /// The expected cost of one request, in millionths of the currency unit.
    pub cost_micros: f64,
    /// The share of good answers expected before any rating.
    pub prior: f64,
    /// Whether the version is unproven.
    pub unproven: bool,
}

/// What a policy decides on.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// The request class.
    pub class: &'a str,
    /// The share of answers that must be good.
    pub quality_target: f64,
    /// Whether a cascade may be planned.
    pub cascade: bool,
    /// The permitted versions; never empty.
    pub candidates: &'a [Candidate],
}

/// The path of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// Run on one candidate.
    Direct(usize),
    /// Run on the first and, if its confidence is below the threshold, on the second.
    Cascade {
        /// The candidate that is tried first.
        first: usize,
        /// The candidate that answers what the first is not sure of.
        then: usize,
        /// The confidence, from 0 to 1, at which the first answer is kept.
        threshold: f64,
    },
}

/// A plan with what the policy expects of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// The plan.
    pub plan: Plan,
    /// The expected share of good answers.
    pub quality: f64,
    /// The expected cost, in millionths of the currency unit.
    pub cost_micros: f64,
}

/// Decides on the path of a request.
pub trait RoutingPolicy: Send + Sync {
    /// Plans one request at a price of quality, in millionths of the currency unit for one good
    /// answer.
    fn plan(
        &self,
        query: &Query<'_>,
        learned: &QualityEstimates,
        price: f64,
        random: &mut fastrand::Rng,
    ) -> Decision;
}

/// The registration of a routing policy.
pub struct PolicyPlugin {
    /// The name that declarations use.
    pub name: &'static str,
    /// The policy.
    pub policy: &'static dyn RoutingPolicy,
}

impl Plugin for PolicyPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(PolicyPlugin);

/// Finds a policy by name.
///
/// # Errors
///
/// Fails with the known names when there is none.
pub fn find(name: &str) -> Result<&'static dyn RoutingPolicy, UnknownPlugin> {
    kernel::lookup::<PolicyPlugin>(name).map(|plugin| plugin.policy)
}
