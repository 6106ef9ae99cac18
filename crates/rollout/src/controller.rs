//! The steps of a roll-out.

use crate::monitor::{Judgement, Monitor, TestSettings};

/// The state of a roll-out as its status records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
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

impl Step {
    /// Returns whether the step may not end now.
    fn holds(&self, now_ms: u64) -> bool {
        self.paused || self.done || now_ms < self.since_ms + self.min_ms
    }
}

/// What the controller does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
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
pub struct Controller {
    /// The tests.
    pub monitor: Monitor,
}

impl Controller {
    /// Starts with no evidence.
    pub fn new(settings: TestSettings) -> Controller {
        Controller {
            monitor: Monitor::new(settings),
        }
    }

    /// Decides what to do next. A bad version stops even while the roll-out is paused.
    pub fn next(&mut self, step: Step, now_ms: u64) -> Next {
        match self.monitor.judge() {
            Judgement::Bad(symptom, class) => {
                Next::Stop(format!("{} in class '{class}'", symptom.as_str()))
            }
            Judgement::Undecided => Next::Wait,
            Judgement::Good if step.holds(now_ms) => Next::Wait,
            Judgement::Good => {
                self.monitor.begin_step();
                if step.index + 1 < step.count {
                    Next::Advance(step.index + 1)
                } else {
                    Next::Finish
                }
            }
        }
    }
}
