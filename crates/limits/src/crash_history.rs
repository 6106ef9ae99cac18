//! What instances know about one request or prompt part under which endpoints end.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How long after the crash of one endpoint that of another counts as the same event, in
/// milliseconds: endpoints that end together have another cause than one request each. Many requests
/// with the same part run at a time, so that one event may end several endpoints under a part.
const PART_EVENT_MS: u64 = 120;
const REQUEST_EVENT_MS: u64 = 30;

/// How long a crash counts, in milliseconds.
const CRASH_LIFETIME_MS: u64 = 60_000;

/// The most crashes of one subject that are remembered.
const MAX_CRASHES: usize = 16;

/// The most subjects of each kind that an instance reports to others.
const MAX_REPORTED: usize = 64;

/// What may crash endpoints. The narrower one comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A request as a whole, by the hash of its content.
    Request(u64),
    /// A part of a prompt, by its hash.
    Part(u64),
}

impl Subject {
    pub(crate) fn is_request(self) -> bool {
        matches!(self, Subject::Request(_))
    }

    /// Returns how long after a crash that of another endpoint is of the same event, in milliseconds.
    fn event_ms(self) -> u64 {
        match self {
            Subject::Request(_) => REQUEST_EVENT_MS,
            Subject::Part(_) => PART_EVENT_MS,
        }
    }
}

/// The end of one run of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the run of the endpoint, or 0 if it is not known.
    pub endpoint: u64,
    /// When it ended, in milliseconds on the clock of the holder.
    pub at_ms: u64,
}

/// What instances know about one subject, with times on the clock of the holder, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashHistory {
    subject: Subject,
    crashes: Vec<Crash>,
    survived_ms: Option<u64>,
}

impl CrashHistory {
    /// Creates the history of a subject of which nothing is known.
    pub fn new(subject: Subject) -> CrashHistory {
        CrashHistory {
            subject,
            crashes: Vec::new(),
            survived_ms: None,
        }
    }

    /// Returns what the history is about.
    pub fn subject(&self) -> Subject {
        self.subject
    }

    /// Returns the crashes of endpoints that had begun the subject, one for each event.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns when an endpoint was last seen to live on with the subject, in milliseconds.
    pub fn survived_ms(&self) -> Option<u64> {
        self.survived_ms
    }

    /// Adds what another instance knows.
    pub fn merge(&mut self, other: &CrashHistory) {
        for crash in &other.crashes {
            self.add_crash(*crash);
        }
        self.add_survival(other.survived_ms);
    }

    /// Adds a crash, unless it is of an event that is known.
    pub fn add_crash(&mut self, crash: Crash) {
        if self.crashes.len() < MAX_CRASHES && !self.has_event_of(crash) {
            self.crashes.push(crash);
        }
    }

    /// Removes the crash of an endpoint, by the hash of its run.
    pub(crate) fn remove_crash(&mut self, endpoint: u64) {
        self.crashes.retain(|crash| crash.endpoint != endpoint);
    }

    /// Adds that an endpoint was seen to live on at a time, in milliseconds.
    pub fn add_survival(&mut self, survived_ms: Option<u64>) {
        self.survived_ms = self.survived_ms.max(survived_ms);
    }

    /// Returns the number of crashes since the last survival.
    pub(crate) fn crashes_in_row(&self) -> usize {
        let survived_ms = self.survived_ms.unwrap_or_default();
        let later = self.crashes.iter();
        later.filter(|crash| crash.at_ms > survived_ms).count()
    }

    /// Returns whether a crash is of an event that is known.
    pub(crate) fn has_event_of(&self, crash: Crash) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|known| {
            let same_endpoint = known.endpoint == crash.endpoint && crash.endpoint != 0;
            same_endpoint || known.at_ms.abs_diff(crash.at_ms) < self.subject.event_ms()
        })
    }

    /// Forgets what is too old to count, and crashes before a survival.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let survived_ms = self.survived_ms.unwrap_or_default();
        self.crashes
            .retain(|crash| crash.at_ms > survived_ms && now_ms < crash.at_ms + CRASH_LIFETIME_MS);
        self.survived_ms
            .take_if(|ms| now_ms >= *ms + CRASH_LIFETIME_MS);
    }
}

/// The block of a subject. After it has ended, single requests try the subject for as long again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashBlock {
    /// When the block ends, in milliseconds.
    pub until_ms: u64,
    /// The length of the block, in milliseconds.
    pub length_ms: u64,
}

impl CrashBlock {
    pub(crate) fn has_lapsed(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms + self.length_ms
    }

    /// Returns whether an endpoint survived the subject at this time, after the block began.
    pub(crate) fn is_refuted(&self, survived_ms: Option<u64>) -> bool {
        let began_ms = self.until_ms.saturating_sub(self.length_ms);
        survived_ms.is_some_and(|survived_ms| survived_ms > began_ms)
    }
}

/// A subject that an instance reports to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// What the instance saw itself.
    pub history: CrashHistory,
    /// The block of the subject, if it is blocked.
    pub block: Option<CrashBlock>,
}

impl CrashReport {
    /// Joins the reports on the same subject, and leaves out those with the fewest crashes beyond the
    /// most that are reported.
    pub fn join(reports: impl IntoIterator<Item = CrashReport>) -> Vec<CrashReport> {
        let mut by_subject: BTreeMap<Subject, CrashReport> = BTreeMap::new();
        for report in reports {
            let Some(known) = by_subject.get_mut(&report.history.subject) else {
                by_subject.insert(report.history.subject, report);
                continue;
            };
            known.history.merge(&report.history);
            let until_ms = |block: Option<CrashBlock>| block.map(|block| block.until_ms);
            if until_ms(report.block) > until_ms(known.block) {
                known.block = report.block;
            }
        }
        let mut joined: Vec<CrashReport> = by_subject.into_values().collect();
        joined.sort_by_key(|report| {
            let crashes = report.history.crashes_in_row();
            Reverse((report.block.is_some(), crashes))
        });
        keep_most(&mut joined, |report| report.history.subject);
        joined
    }
}

/// Keeps the first ones of each kind that may be reported.
pub(crate) fn keep_most<T>(ranked: &mut Vec<T>, subject: impl Fn(&T) -> Subject) {
    let mut requests = 0;
    let mut parts = 0;
    ranked.retain(|entry| {
        let count = if subject(entry).is_request() {
            &mut requests
        } else {
            &mut parts
        };
        *count += 1;
        *count <= MAX_REPORTED
    });
}
