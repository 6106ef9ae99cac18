//! The quick start: stand-ins, three entry instances on loopback, a stream of calls, and an
//! independent check of where each went.
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
