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
mod deployment;
mod load;
mod record;
mod scene;

pub use audit::{Audit, Books};
pub use caller::{Caller, Http, HttpReply};
pub use cli::{Args, args, run};
pub use deployment::Deployment;
pub use load::{Mix, call_of};
pub use record::{CallKind, CallRecord, CallSpec, Ending};
pub use scene::Scene;
