//! Roll-out control and bounded exposure, as pure decisions.
//!
//! Instances count outcomes on the unproven version; the controller of a roll-out feeds the counts
//! into sequential tests, which stop the version or let the next step begin.
//!
//! # Examples
//!
//! ```
//! use rollout::{Judgement, Monitor, TestSettings};
//!
//! let monitor = Monitor::new(TestSettings::default());
//! assert_eq!(monitor.judge(), Judgement::Undecided);
//! ```

mod allowance;
mod controller;
mod cusum;
mod evidence;
mod monitor;
mod shift;
mod slow;
mod slowness;

pub use allowance::{allowance, exposure_cap};
pub use controller::{Controller, Next, Step};
pub use cusum::{Cusum, CusumSettings};
pub use evidence::{Counts, Evidence};
pub use monitor::{Judgement, Monitor, Symptom, TestSettings};
pub use shift::{Phase, ShiftSettings, ShiftState, is_worse, next_phase};
pub use slow::{Progress, is_slow};
pub use slowness::Slowness;
