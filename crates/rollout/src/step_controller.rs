//! The steps of a roll-out.

use crate::monitor::{Assessment, Monitor, MonitorSettings};

/// The state of a roll-out as its status records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepState {
    /// The index of the step in force.
    pub index: usize,
    /// The number of steps.
    pub count: usize,
    /// When the step began, in milliseconds.
    pub since_ms: u64,
    /// How long the step lasts at least, in milliseconds.
    pub min_ms: u64,
    /// Whether an operator holds the step.
    pub paused: bool,
    /// Whether all steps passed; the version is still watched.
    pub done: bool,
}

impl StepState {
    /// Returns whether the step may not end now.
    fn holds(&self, now_ms: u64) -> bool {
        self.paused || self.done || now_ms < self.since_ms + self.min_ms
    }
}

/// What the controller does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepAction {
    /// Nothing.
    Wait,
    /// Begin the step with this index.
    Advance(usize),
    /// End: the version is good.
    Finish,
    /// Stop: the version is bad, for this reason.
    Stop(String),
}

/// Moves one roll-out along.
#[derive(Debug)]
pub struct StepController {
    /// The tests.
    pub monitor: Monitor,
}

impl StepController {
    /// Starts with no evidence.
    pub fn new(settings: MonitorSettings) -> StepController {
        StepController {
            monitor: Monitor::new(settings),
        }
    }

    /// Decides what to do next. A bad version stops even while the roll-out is paused.
    pub fn next_action(&mut self, step: StepState, now_ms: u64) -> StepAction {
        match self.monitor.assess() {
            Assessment::Regressed(symptom, class) => {
                StepAction::Stop(format!("{} in class '{class}'", symptom.as_str()))
            }
            Assessment::Undecided => StepAction::Wait,
            Assessment::Healthy if step.holds(now_ms) => StepAction::Wait,
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
