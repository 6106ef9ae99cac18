//! Fake platform, model engines and plain services for testing the router.
//!
//! They serve HTTP, usually on loopback, and log every executed call and every order to load a
//! version. Faults such as refusals, lost responses and hung calls are switched on at run time.
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
mod crowd;
mod endpoint;
mod faults;
mod objects;
mod platform;
mod proxy;
mod ratings;
mod state;

pub use backends::{FakeBackends, FakeBackendsConfig};
pub use call_log::{OrderLog, OrderRecord, Run, RunLog};
pub use cli::{Args, args, run};
pub use crowd::{CrowdCaller, Peak, peak_with_crowd};
pub use faults::{EndpointFault, EndpointFaults, FaultInjector, PlatformFaults};
pub use objects::ObjectStore;
pub use proxy::{PROXY_MODES, Proxy, ProxyMode};
pub use state::FakeState;
