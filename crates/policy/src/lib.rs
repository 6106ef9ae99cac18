//! Routing and cascade policies: state in, decision out, with no input or output of their own.
//!
//! # Examples
//!
//! ```
//! use policy::{Candidate, Learned, Plan, Query};
//!
//! let candidates = [Candidate { version: "small".into(), cost_micros: 10.0, prior: 0.9, unproven: false }];
//! let query = Query { class: "default", quality_target: 0.8, cascade: true, candidates: &candidates };
//! let policy = policy::find("cheapest-to-target").unwrap();
//! let mut random = fastrand::Rng::with_seed(1);
//! let decision = policy.plan(&query, &Learned::default(), 0.0, &mut random);
//! assert_eq!(decision.plan, Plan::Direct(0));
//! ```

mod assign;
mod baseline;
mod cheapest;
mod estimate;
mod ladder;
mod learned;
mod plan;
mod pressure;
mod price;

pub use assign::{arm, unit_hash};
pub use estimate::Estimate;
pub use ladder::Ladder;
pub use learned::{CONFIDENCE_BINS, Learned, Observation, Unsure, confidence_bin};
pub use plan::{Candidate, Decision, Plan, PolicyPlugin, Query, RoutingPolicy, find};
pub use pressure::Pressure;
pub use price::Price;
