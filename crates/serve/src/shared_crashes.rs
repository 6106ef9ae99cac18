//! The requests and prompt parts that crash endpoints, shared with the thread that exchanges them with
//! other instances.

use std::sync::{Mutex, MutexGuard, PoisonError};

use limits::{Admittance, Crash, CrashGuard, CrashReport, Subject};

/// The requests and prompt parts that crash endpoints, as this instance and its peers saw them.
#[derive(Debug, Default)]
pub struct SharedCrashes {
    guard: Mutex<CrashGuard>,
}

impl SharedCrashes {
    /// Returns what to report to other instances.
    pub fn reported(&self, now_ms: u64) -> Vec<CrashReport> {
        self.lock().reported(now_ms)
    }

    /// Replaces what the other instances report, and decides what is blocked.
    pub fn set_peers(&self, reports: &[CrashReport], now_ms: u64) {
        let blocked = self.lock().set_peers(reports, now_ms);
        for subject in blocked {
            match subject {
                Subject::Request(content) => {
                    let content = format!("{content:x}");
                    tracing::warn!(content, "crash: request blocked, it crashes endpoints");
                }
                Subject::Part(part) => {
                    let part = format!("{part:x}");
                    tracing::warn!(part, "crash: prompt part blocked, it crashes endpoints");
                }
            }
        }
    }

    /// Returns the number of blocked requests.
    pub fn blocked_requests(&self) -> usize {
        self.lock().blocked_requests()
    }

    /// Returns the number of blocked prompt parts.
    pub fn blocked_parts(&self) -> usize {
        self.lock().blocked_parts()
    }

    /// Records that an endpoint ended just after it had begun a request with these subjects.
    pub fn record_crash(&self, subjects: &[Subject], crash: Crash) {
        self.lock().record_crash(subjects, crash);
    }

    /// Records that an endpoint lived on after it had begun a request with these subjects.
    pub fn record_survival(&self, subjects: &[Subject], now_ms: u64) {
        self.lock().record_survival(subjects, now_ms);
    }

    /// Takes back a crash: the endpoint that seemed to have ended lives.
    pub(crate) fn retract_crash(&self, subjects: &[Subject], now_ms: u64) {
        self.lock().retract_crash(subjects, now_ms);
    }

    /// Takes back the crash of an endpoint, by its hash, that may not have begun the request: it lives.
    pub(crate) fn retract_pending_crash(&self, subjects: &[Subject], endpoint: u64, now_ms: u64) {
        self.lock()
            .retract_pending_crash(subjects, endpoint, now_ms);
    }

    /// Leaves out the crash of an endpoint, by its hash, that is not certain.
    pub(crate) fn excuse_crash(&self, subjects: &[Subject], endpoint: u64) {
        self.lock().excuse_crash(subjects, endpoint);
    }

    /// Counts a crash again that was left out.
    pub(crate) fn restore_crash(&self, subjects: &[Subject], crash: Crash) {
        self.lock().restore_crash(subjects, crash);
    }

    /// Returns whether a request with these subjects may be sent.
    pub fn admit(
        &self,
        subjects: &[Subject],
        is_first: impl Fn(Subject) -> bool,
        now_ms: u64,
    ) -> Admittance {
        self.lock().admit(subjects, is_first, now_ms)
    }

    /// Returns whether one of these subjects may be what crashes endpoints.
    pub(crate) fn is_suspect(&self, subjects: &[Subject], now_ms: u64) -> bool {
        self.lock().is_suspect(subjects, now_ms)
    }

    fn lock(&self) -> MutexGuard<'_, CrashGuard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
