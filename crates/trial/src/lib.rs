//! Starts test clusters of entry instances and fake backends on loopback, sends calls to them, and
//! audits the outcomes against what endpoints executed and what was billed.
//!
//! `rosemary-try`, the quick start, does all of this with three entry instances in one process.
//!
//! # Examples
//!
//! ```
//! let declared = trial::Deployment::Shrestha.declarations().unwrap();
//! assert!(declared.validate().is_empty());
//! ```

mod audit;
mod caller;
mod cli;
mod cluster;
mod deployment;
mod record;
mod traffic;

pub use audit::{Audit, BillingRecords};
pub use caller::{Caller, HttpClient, HttpResponse};
pub use cli::{Args, args, run};
pub use cluster::TestCluster;
pub use deployment::Deployment;
pub use record::{CallKind, CallOutcome, CallRecord, CallSpec};
pub use traffic::{TrafficMix, random_call};
