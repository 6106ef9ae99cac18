//! Roll-out control and bounded exposure, as pure decisions.
//!
//! Instances count outcomes on the unproven version; the controller of a roll-out feeds the counts
//! into sequential tests, which stop the version or let the next step begin.
//!
//! # Examples
//!
//! ```
//! use rollout::{Assessment, Monitor, MonitorSettings};
//!
//! let monitor = Monitor::new(MonitorSettings::default());
//! assert_eq!(monitor.assess(), Assessment::Undecided);
//! ```

mod allowance;
mod cusum;
mod evidence;
mod monitor;
mod step_controller;
mod stream_progress;
mod sustained_slowness;
mod timed_rollout;

pub use allowance::{allowance, exposure_cap};
pub use cusum::{Cusum, CusumSettings};
pub use evidence::{Evidence, OutcomeCounts};
pub use monitor::{Assessment, Monitor, MonitorSettings, Regression};
pub use step_controller::{StepAction, StepController, StepState};
pub use stream_progress::{StreamProgress, is_slow_stream};
pub use sustained_slowness::SustainedSlowness;
pub use timed_rollout::{Phase, TimedRolloutSettings, TimedRolloutState, is_worse, next_phase};
