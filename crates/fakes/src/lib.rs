//! Small stand-ins for what surrounds the router: the platform, model engines and plain services.
//!
//! They run over HTTP on loopback, keep a record of every run, and have switches for faults.
//!
//! # Examples
//!
//! ```
//! use fakes::ObjectStore;
//! use store::Precondition;
//!
//! let objects = ObjectStore::default();
//! let revision = objects.put("spec/model/a", serde_json::json!({}), Precondition::Absent).unwrap();
//! assert_eq!(objects.get("spec/model/a").unwrap().revision, revision);
//! ```

mod admin;
mod backends;
mod call_log;
mod cli;
mod completion;
mod endpoint;
mod faults;
mod objects;
mod platform;
mod ratings;
mod state;

pub use backends::{FakeBackends, FakeBackendsConfig};
pub use call_log::{OrderLog, OrderRecord, Run, RunLog};
pub use cli::{Args, args, run};
pub use faults::{EndpointFault, EndpointFaults, FaultInjector, PlatformFaults};
pub use objects::ObjectStore;
pub use state::FakeState;
