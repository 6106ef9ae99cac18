//! Routing and cascade policies: state in, decision out, with no input or output of their own.
//!
//! # Examples
//!
//! ```
//! use policy::{Candidate, QualityEstimates, Plan, Query};
//!
//! let candidates = [Candidate { version: "small".into(), cost_micros: 10.0, prior: 0.9, unproven: false }];
//! let query = Query { class: "default", quality_target: 0.8, cascade: true, candidates: &candidates };
//! let policy = policy::find("cheapest-to-target").unwrap();
//! let mut random = fastrand::Rng::with_seed(1);
//! let decision = policy.plan(&query, &QualityEstimates::default(), 0.0, &mut random);
//! assert_eq!(decision.plan, Plan::Direct(0));
//! ```

mod assign;
mod baseline;
mod cascade;
mod cheapest;
mod estimate;
mod plan;
mod pressure;
mod price;
mod quality;

pub use assign::{assign_arm, unit_hash};
pub use cascade::Cascade;
pub use estimate::Estimate;
pub use plan::{Candidate, Decision, Plan, PolicyPlugin, Query, RoutingPolicy, find};
pub use pressure::Pressure;
pub use price::Price;
pub use quality::{
    CONFIDENCE_BINS, EscalatedAnswer, Observation, QualityEstimates, confidence_bin,
};
