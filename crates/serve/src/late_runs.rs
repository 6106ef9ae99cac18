//! What is done about runs that are not expected to end by their deadlines, and counts of it.

use std::sync::atomic::AtomicU64;

/// What is done about a run that is not expected to end by the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LateRunDecision {
    /// The answer that is there is kept in place of a larger size.
    Kept,
    /// A smaller size runs in place of a larger one.
    Smaller,
    /// The run is moved to another endpoint.
    Moved,
    /// The request is refused without a run.
    Refused,
    /// The run goes on, as nothing else would end in time.
    GoesOn,
}

/// Counts of what was done about runs that are not expected to end by their deadlines.
#[derive(Debug, Default)]
pub struct LateRunCounters {
    /// Answers kept in place of a larger size.
    pub kept: AtomicU64,
    /// Smaller sizes run in place of larger ones.
    pub smaller: AtomicU64,
    /// Runs moved to another endpoint.
    pub moved: AtomicU64,
    /// Runs that went on.
    pub goes_on: AtomicU64,
    /// Requests refused without a run.
    pub refused: AtomicU64,
}

impl LateRunCounters {
    /// Returns the counter of a decision and its name in logs.
    pub(crate) fn of(&self, decision: LateRunDecision) -> (&AtomicU64, &'static str) {
        match decision {
            LateRunDecision::Kept => (&self.kept, "kept"),
            LateRunDecision::Smaller => (&self.smaller, "smaller"),
            LateRunDecision::Moved => (&self.moved, "moved"),
            LateRunDecision::GoesOn => (&self.goes_on, "goes on"),
            LateRunDecision::Refused => (&self.refused, "refused"),
        }
    }
}
