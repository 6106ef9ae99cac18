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
    /// The share of good answers expected before any rating, from 0 to 1.
    pub prior: f64,
    /// Whether the version is unproven.
    pub unproven: bool,
}

/// The input of a policy's decision on one request.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// The request class.
    pub class: &'a str,
    /// The share of answers that must be good, from 0 to 1.
    pub quality_target: f64,
    /// Whether a cascade may be planned.
    pub cascade: bool,
    /// The versions that the request may run on; never empty.
    pub candidates: &'a [Candidate],
}

/// The versions on which a request is to run, by their index among the candidates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// Run on one candidate.
    Direct(usize),
    /// Run on one candidate and, if its confidence is below the threshold, on another.
    Cascade {
        /// The candidate that runs first.
        first: usize,
        /// The candidate that runs if the first answer is not confident enough.
        then: usize,
        /// The lowest confidence, from 0 to 1, at which the first answer is kept.
        threshold: f64,
    },
}

/// A plan with its expected quality and cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// The plan.
    pub plan: Plan,
    /// The expected share of good answers.
    pub quality: f64,
    /// The expected cost, in millionths of the currency unit.
    pub cost_micros: f64,
}

/// Plans on which versions a request runs.
pub trait RoutingPolicy: Send + Sync {
    /// Plans one request at a price of quality, in millionths of the currency unit for one good
    /// answer.
    fn plan(
        &self,
        query: &Query<'_>,
        estimates: &QualityEstimates,
        price: f64,
        random: &mut fastrand::Rng,
    ) -> Decision;
}

/// The registration of a routing policy.
pub struct PolicyPlugin {
    /// The name by which declarations select the policy.
    pub name: &'static str,
    /// The policy that is registered under the name.
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
/// Fails with the registered names if no policy has this name.
pub fn find(name: &str) -> Result<&'static dyn RoutingPolicy, UnknownPlugin> {
    kernel::lookup::<PolicyPlugin>(name).map(|plugin| plugin.policy)
}
