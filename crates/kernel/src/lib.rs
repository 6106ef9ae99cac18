//! Types that all other crates share.
//!
//! These are the verdict on whether a request was executed, the failure that ends a request,
//! request identifiers, priority classes, clocks, and the registry that finds plug-ins by name.
//!
//! # Examples
//!
//! ```
//! use kernel::{Failure, Reason, Verdict};
//!
//! let failure = Failure::not_run(Reason::Overloaded, "all endpoints are busy").retry_after_ms(250);
//! assert_eq!(failure.verdict, Verdict::NotRun);
//! ```

mod clock;
mod failure;
mod id;
mod plugin;
mod priority;
mod verdict;

pub use clock::{Clock, ManualClock, SystemClock};
pub use failure::{Failure, Reason};
pub use id::{IdError, Incarnation, RequestId};
pub use plugin::{Plugin, UnknownPlugin, lookup, nearest};
pub use priority::Priority;
pub use verdict::Verdict;
