//! Outcomes by version, which the control thread reads.

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
struct Line {
    evidence: Evidence,
    running: u64,
}

/// What became of calls, by service and version.
#[derive(Debug, Default)]
pub struct VersionCounters {
    lines: Mutex<BTreeMap<VersionKey, Line>>,
}

/// How an endpoint answered a call. A connection that breaks is held against the endpoint alone: one
/// crash ends all calls in hand, and says nothing of the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    Answered,
    Slow,
    Failed,
}

impl VersionCounters {
    /// Returns the outcomes on one version.
    pub fn evidence(&self, service: &Arc<str>, version: &Arc<str>) -> Evidence {
        let lines = self.lines();
        let line = lines.get(&key(service, version));
        line.map(|line| line.evidence.clone()).unwrap_or_default()
    }

    /// Returns the outcomes on all versions but one.
    pub fn evidence_excluding(&self, service: &Arc<str>, version: &Arc<str>) -> Evidence {
        let mut sum = Evidence::default();
        for (key, line) in self.lines().iter() {
            if key.service != *service || key.version == *version {
                continue;
            }
            for (class, counts) in &line.evidence.classes {
                let held = sum.class_mut(class);
                held.answered += counts.answered;
                held.failed += counts.failed;
                held.slow += counts.slow;
            }
        }
        sum
    }

    /// Returns how many calls run on versions other than one.
    pub fn running_excluding(&self, service: &Arc<str>, version: &Arc<str>) -> u64 {
        let lines = self.lines();
        let others = lines
            .iter()
            .filter(|(key, _)| key.service == *service && key.version != *version);
        others.map(|(_, line)| line.running).sum()
    }

    pub(crate) fn start(&self, service: &Arc<str>, version: &Arc<str>) {
        let mut lines = self.lines();
        lines.entry(key(service, version)).or_default().running += 1;
    }

    pub(crate) fn end(&self, service: &Arc<str>, version: &Arc<str>) {
        let mut lines = self.lines();
        let line = lines.entry(key(service, version)).or_default();
        line.running = line.running.saturating_sub(1);
    }

    pub(crate) fn note(
        &self,
        service: &Arc<str>,
        version: &Arc<str>,
        class: &Arc<str>,
        ending: Ending,
    ) {
        let mut lines = self.lines();
        let line = lines.entry(key(service, version)).or_default();
        let counts = line.evidence.class_mut(class);
        match ending {
            Ending::Failed => counts.failed += 1,
            Ending::Slow => {
                counts.answered += 1;
                counts.slow += 1;
            }
            Ending::Answered => counts.answered += 1,
        }
    }

    fn lines(&self) -> MutexGuard<'_, BTreeMap<VersionKey, Line>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(service: &Arc<str>, version: &Arc<str>) -> VersionKey {
    VersionKey {
        service: service.clone(),
        version: version.clone(),
    }
}
