//! What a check of an endpoint found.

use std::time::{Duration, Instant};

/// How much less time an earlier check may have had to replace another.
const MAX_LESS_TIME: Duration = Duration::from_millis(50);

/// What the address of an endpoint shows of its run, the strongest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Life {
    /// The run answers a health check.
    Answers,
    /// Another run answers, or a later one is listed at the address.
    Replaced,
    /// It is not asked, as it wants no more requests, and keeps a connection.
    KeepsConnection,
    RefusesConnection,
    ClosesConnection,
    /// It keeps a connection and does not answer in time. Another process may hold its listener.
    NoAnswer,
    /// No connection was established in time.
    NoConnection,
}

/// A check of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LifeCheck {
    pub(crate) started_at: Instant,
    /// Until when an answer was waited for.
    pub(crate) until: Instant,
    pub(crate) found: Life,
}

impl LifeCheck {
    /// Returns whether this check tells as much as one would that starts at a later time.
    pub(crate) fn replaces(&self, asked_at: Instant, until: Instant) -> bool {
        let waited = matches!(self.found, Life::NoAnswer | Life::NoConnection);
        self.started_at > asked_at && (!waited || self.until + MAX_LESS_TIME >= until)
    }
}
