//! Decides which model versions run a request, without input or output of its own.
//!
//! Routing policies are plug-ins that choose one version or a cascade of two, by cost and estimated
//! quality. The crate also holds those estimates, the price of quality, the assignment to arms of
//! experiments, and the cascade over the sizes of one model with its measure of scarcity and its estimates of
//! answer lengths and of runs that end by their deadlines.
//!
//! # Examples
//!
//! ```
//! use policy::{Candidate, Plan, QualityEstimates, Query};
//!
//! let candidates = [Candidate { version: "small".into(), cost_micros: 10.0, prior: 0.9, unproven: false }];
//! let query = Query { class: "default", quality_target: 0.8, cascade: true, candidates: &candidates };
//! let policy = policy::find("cheapest-to-target").unwrap();
//! let mut random = fastrand::Rng::with_seed(1);
//! let decision = policy.plan(&query, &QualityEstimates::default(), 0.0, &mut random);
//! assert_eq!(decision.plan, Plan::Direct(0));
//! ```

mod answer_length;
mod assign;
mod baseline;
mod cascade;
mod cheapest;
mod estimate;
mod log_estimate;
mod plan;
mod price;
mod quality;
mod run_outlook;
mod scarcity;
mod size_estimates;

pub use answer_length::{AnswerLength, LengthEstimate};
pub use assign::{assign_arm, unit_hash};
pub use cascade::{Cascade, CurrentAnswer, RunEnd, SizeOutlook};
pub use estimate::Estimate;
pub use log_estimate::LogEstimate;
pub use plan::{Candidate, Decision, Plan, PolicyPlugin, Query, RoutingPolicy, find};
pub use price::Price;
pub use quality::{
    CONFIDENCE_BINS, EscalatedAnswer, Observation, QualityEstimates, confidence_bin,
};
pub use run_outlook::{RunOutlook, is_hopeless};
pub use scarcity::Scarcity;
pub use size_estimates::SizeEstimates;
