//! The controller of a roll-out in steps.

use crate::monitor::{Assessment, Monitor, MonitorSettings};

/// The state of a roll-out in steps, as its status and its declaration give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepState {
    /// The index of the current step.
    pub index: usize,
    /// The number of steps.
    pub count: usize,
    /// When the step began, in milliseconds.
    pub since_ms: u64,
    /// The shortest duration of a step, in milliseconds.
    pub min_ms: u64,
    /// Whether an operator has paused the roll-out.
    pub paused: bool,
    /// Whether all steps have passed; the version is still monitored.
    pub done: bool,
}

impl StepState {
    /// Returns whether the step must not end yet.
    fn must_stay(&self, now_ms: u64) -> bool {
        self.paused || self.done || now_ms < self.since_ms + self.min_ms
    }
}

/// What to do with a roll-out next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepAction {
    /// Stay in the current step.
    Wait,
    /// Begin the step with this index.
    Advance(usize),
    /// Complete the roll-out: the last step passed.
    Finish,
    /// Stop the version, for this reason.
    Stop(String),
}

/// Decides when a roll-out advances to its next step, completes or stops.
#[derive(Debug)]
pub struct StepController {
    /// The tests on the new version.
    pub monitor: Monitor,
}

impl StepController {
    /// Creates a controller without evidence.
    pub fn new(settings: MonitorSettings) -> StepController {
        StepController {
            monitor: Monitor::new(settings),
        }
    }

    /// Decides what to do next. A regressed version stops even while the roll-out is paused.
    pub fn next_action(&mut self, step: StepState, now_ms: u64) -> StepAction {
        match self.monitor.assess() {
            Assessment::Regressed(regression, class) => {
                StepAction::Stop(format!("{} in class '{class}'", regression.as_str()))
            }
            Assessment::Undecided => StepAction::Wait,
            Assessment::Healthy if step.must_stay(now_ms) => StepAction::Wait,
            Assessment::Healthy => {
                self.monitor.begin_step();
                if step.index + 1 < step.count {
                    StepAction::Advance(step.index + 1)
                } else {
                    StepAction::Finish
                }
            }
        }
    }
}
