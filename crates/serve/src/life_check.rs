//! What a check of an endpoint found.

use std::time::{Duration, Instant};

use crate::witness::ACCEPT_TIME;

/// How much less time an earlier check may have had to replace another.
const MAX_LESS_TIME: Duration = Duration::from_millis(50);

/// What an endpoint, its address and the registry show of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Life {
    /// The run answers.
    Answers,
    /// Another run answers, or a later one is listed at the address.
    Replaced,
    /// It is not asked, as it wants no more requests, and keeps a connection.
    KeepsConnection,
    RefusesConnection,
    ClosesConnection,
    /// It does not answer in time, or not as this run. Another process may hold its listener.
    NoAnswer,
    /// No connection was established in time.
    NoConnection,
}

impl Life {
    /// Returns whether the run lives, by what is known so far.
    pub(crate) fn seems_alive(self) -> bool {
        matches!(self, Life::Answers | Life::KeepsConnection)
    }

    /// Returns whether no new connection to the endpoint could be used.
    pub(crate) fn is_unreached(self) -> bool {
        matches!(
            self,
            Life::RefusesConnection | Life::ClosesConnection | Life::NoConnection
        )
    }
}

/// A check of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LifeCheck {
    pub(crate) started_at: Instant,
    /// Until when an answer was waited for.
    pub(crate) until: Instant,
    pub(crate) found: Life,
    /// When the connection was established on which it was found, if only that tells the run from a later one.
    pub(crate) established_at: Option<Instant>,
    /// Whether the idle connection to the endpoint was open after the answer.
    pub(crate) keeps_witness: bool,
}

/// What is known of the run that sent an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sign {
    pub(crate) life: Life,
    /// Since when the run that shows it is known to be there, if only that tells it from a later one.
    pub(crate) since: Option<Instant>,
    /// Whether the idle connection to the endpoint was open after the answer.
    pub(crate) keeps_witness: bool,
}

impl Sign {
    /// Creates a sign that does not depend on when the run was there.
    pub(crate) fn new(life: Life) -> Sign {
        Sign {
            life,
            since: None,
            keeps_witness: false,
        }
    }
}

impl LifeCheck {
    /// Returns whether this check tells as much as one would that starts at a later time.
    pub(crate) fn replaces(&self, asked_at: Instant, until: Instant) -> bool {
        let waited = matches!(self.found, Life::NoAnswer | Life::NoConnection);
        self.started_at > asked_at && (!waited || self.until + MAX_LESS_TIME >= until)
    }

    /// Returns what the check shows of the run that was there at a time, or `None` if the run that answered may be
    /// a later one.
    pub(crate) fn sign_of(&self, alive_at: Instant) -> Option<Sign> {
        let since = self
            .established_at
            .map(|established_at| established_at + ACCEPT_TIME);
        if self.found.seems_alive() && since.is_some_and(|since| since > alive_at) {
            return None;
        }
        Some(Sign {
            life: self.found,
            since,
            keeps_witness: self.keeps_witness,
        })
    }
}
