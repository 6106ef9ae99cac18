//! The test of a new version against the old one during a timed roll-out.

use crate::comparison::Comparison;
use crate::evidence::Evidence;

/// The evidence at which a version is withdrawn, in nats.
const WITHDRAW_NATS: f64 = 5.0;

/// The evidence above which a version gets no larger share of the traffic, in nats.
const MAX_STEP_NATS: f64 = 2.5;

/// The evidence above which a version is not completed, in nats: a version that is kept cannot be
/// withdrawn any more.
const MAX_DONE_NATS: f64 = 0.0;

/// The interval between the beginnings of two spans that are tested, in milliseconds.
const SPAN_INTERVAL_MS: u64 = 2_000;

/// The most spans that are tested beside the whole time.
const MAX_SPANS: usize = 6;

/// What the outcomes of a version permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Judgement {
    /// The version may be completed.
    Acceptable,
    /// The version may get a larger share of the traffic, but not be completed.
    Unproven,
    /// The version must not get more traffic.
    Doubtful,
    /// The version must be withdrawn.
    Regressed,
}

impl Comparison {
    /// Returns what the outcomes permit.
    pub fn judgement(&self) -> Judgement {
        if self.worse_nats >= WITHDRAW_NATS {
            Judgement::Regressed
        } else if self.worse_nats > MAX_STEP_NATS {
            Judgement::Doubtful
        } else if self.worse_nats > MAX_DONE_NATS {
            Judgement::Unproven
        } else {
            Judgement::Acceptable
        }
    }
}

/// The outcomes on the new version when a span of time began.
#[derive(Debug)]
struct Span {
    began_ms: u64,
    before: Evidence,
}

/// Compares versions over the whole time and over its last parts, as a version may turn bad.
#[derive(Debug, Default)]
pub struct VersionTest {
    spans: Vec<Span>,
}

impl VersionTest {
    /// Compares the outcomes so far, which are sums over all instances, and returns the comparison
    /// in which the new version is worst.
    pub fn update(&mut self, new: &Evidence, old: &Evidence, now_ms: u64) -> Comparison {
        let mut worst = Comparison::new(new, old);
        self.begin_span(new, now_ms);
        let spans_nats = ((1 + self.spans.len()) as f64).ln();
        for span in &self.spans {
            let mut recent = Comparison::new(&new.since(&span.before), old);
            recent.worse_nats -= spans_nats;
            if recent.worse_nats > worst.worse_nats {
                worst = recent;
            }
        }
        worst
    }

    fn begin_span(&mut self, new: &Evidence, now_ms: u64) {
        let last = self.spans.last();
        if last.is_some_and(|span| now_ms < span.began_ms + SPAN_INTERVAL_MS) {
            return;
        }
        if self.spans.len() == MAX_SPANS {
            self.spans.remove(0);
        }
        self.spans.push(Span {
            began_ms: now_ms,
            before: new.clone(),
        });
    }
}
