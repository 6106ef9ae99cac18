//! Decides how roll-outs of new versions proceed, without input or output of its own.
//!
//! Instances count the outcomes of requests on the unproven version. Sequential tests on these
//! counts stop a version that regressed or let its roll-out advance, either in steps or within a
//! set time. The crate also limits how many requests may reach an unproven version.
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
mod comparison;
mod cusum;
mod evidence;
mod monitor;
mod old_calls;
mod step_controller;
mod stream_progress;
mod sustained_slowness;
mod time_histogram;
mod timed_rollout;
mod version_test;

pub use allowance::{allowance, exposure_cap};
pub use comparison::Comparison;
pub use cusum::{Cusum, CusumSettings};
pub use evidence::{Evidence, OutcomeCounts};
pub use monitor::{Assessment, Monitor, MonitorSettings, Regression};
pub use old_calls::{ListedInstance, OldCalls, OldCallsBound, OldCallsReport, OldCallsState};
pub use step_controller::{StepAction, StepController, StepState};
pub use stream_progress::{StreamProgress, is_slow_stream};
pub use sustained_slowness::SustainedSlowness;
pub use time_histogram::{TIME_BUCKETS, TimeHistogram};
pub use timed_rollout::{Phase, TimedRolloutSettings, TimedRolloutState, is_worse, next_phase};
pub use version_test::{Judgement, VersionTest};
