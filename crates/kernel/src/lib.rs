//! Verdicts, identifiers, clocks and the plug-in registry that every other crate builds on.
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
