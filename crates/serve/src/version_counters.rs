//! Call outcomes by version, which the control thread reads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rollout::Evidence;

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VersionKey {
    service: Arc<str>,
    version: Arc<str>,
}

#[derive(Debug, Default)]
struct VersionEntry {
    evidence: Evidence,
    /// Calls in flight.
    running: u64,
    /// Those of them that may not be repeated.
    unrepeatable: u64,
}

/// Calls in flight on some versions of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunningCalls {
    /// All of them.
    pub count: u64,
    /// Those that may not be repeated.
    pub unrepeatable: u64,
    /// The retries that the service's budget allows now.
    pub retries_left: u64,
}

impl RunningCalls {
    /// Returns how many answers would be lost if the endpoints of all calls ended now.
    pub fn lost_if_ended(&self) -> u64 {
        let repeatable = self.count.saturating_sub(self.unrepeatable);
        self.unrepeatable + repeatable.saturating_sub(self.retries_left)
    }
}

/// Counts of call outcomes, by service and version.
#[derive(Debug, Default)]
pub struct VersionCounters {
    entries: Mutex<BTreeMap<VersionKey, VersionEntry>>,
    /// The retries that the budget of each service allows.
    retries_left: Mutex<BTreeMap<Arc<str>, u64>>,
}

/// How an endpoint answered a call. A broken connection counts against the endpoint only: one crash
/// ends all calls in flight, and is no evidence about the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// With success, in the usual time.
    Answered,
    /// With success, but late or several times slower than usual.
    Slow,
    /// With a failure of its own.
    Failed,
}

/// How fast an answer was.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Measured {
    /// The time of an answer that was sent as a whole, in milliseconds.
    AnswerMs(f64),
    /// The time between the events of a stream, relative to what is usual.
    StreamPace(f64),
}

const PERCENT: f64 = 100.0;

impl VersionCounters {
    /// Returns the outcomes of calls on one version.
    pub fn evidence(&self, service: &Arc<str>, version: &Arc<str>) -> Evidence {
        let entries = self.entries();
        let entry = entries.get(&key(service, version));
        entry
            .map(|entry| entry.evidence.clone())
            .unwrap_or_default()
    }

    /// Returns the outcomes of calls on all versions of a service except one.
    pub fn evidence_excluding(&self, service: &Arc<str>, version: &Arc<str>) -> Evidence {
        let mut sum = Evidence::default();
        for (key, entry) in self.entries().iter() {
            if key.service != *service || key.version == *version {
                continue;
            }
            for (class, counts) in &entry.evidence.classes {
                sum.class_mut(class).add(counts);
            }
        }
        sum
    }

    /// Returns the calls in flight on all versions of a service except one.
    pub fn running_excluding(&self, service: &Arc<str>, version: &Arc<str>) -> RunningCalls {
        let mut calls = RunningCalls {
            retries_left: self.retries_left().get(service).copied().unwrap_or(0),
            ..RunningCalls::default()
        };
        for (key, entry) in self.entries().iter() {
            if key.service != *service || key.version == *version {
                continue;
            }
            calls.count += entry.running;
            calls.unrepeatable += entry.unrepeatable;
        }
        calls
    }

    /// Records how many retries the budget of a service allows now.
    pub(crate) fn record_retries_left(&self, service: &Arc<str>, count: u64) {
        self.retries_left().insert(service.clone(), count);
    }

    pub(crate) fn call_started(&self, service: &Arc<str>, version: &Arc<str>, may_repeat: bool) {
        let mut entries = self.entries();
        let entry = entries.entry(key(service, version)).or_default();
        entry.running += 1;
        entry.unrepeatable += u64::from(!may_repeat);
    }

    pub(crate) fn call_ended(&self, service: &Arc<str>, version: &Arc<str>, may_repeat: bool) {
        let mut entries = self.entries();
        let entry = entries.entry(key(service, version)).or_default();
        entry.running = entry.running.saturating_sub(1);
        let unrepeatable = u64::from(!may_repeat);
        entry.unrepeatable = entry.unrepeatable.saturating_sub(unrepeatable);
    }

    /// Records the outcome of a call, with what was measured if it was answered.
    pub fn record(
        &self,
        service: &Arc<str>,
        version: &Arc<str>,
        class: &Arc<str>,
        outcome: CallOutcome,
        measured: Option<Measured>,
    ) {
        let mut entries = self.entries();
        let entry = entries.entry(key(service, version)).or_default();
        let counts = entry.evidence.class_mut(class);
        match outcome {
            CallOutcome::Failed => counts.failed += 1,
            CallOutcome::Slow => {
                counts.answered += 1;
                counts.slow += 1;
            }
            CallOutcome::Answered => counts.answered += 1,
        }
        match measured {
            Some(Measured::AnswerMs(time_ms)) => counts.times.record(time_ms),
            Some(Measured::StreamPace(pace)) => counts.paces.record(pace * PERCENT),
            None => {}
        }
    }

    fn retries_left(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, u64>> {
        self.retries_left
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<VersionKey, VersionEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(service: &Arc<str>, version: &Arc<str>) -> VersionKey {
    VersionKey {
        service: service.clone(),
        version: version.clone(),
    }
}
