//! Outcomes of requests on one version, as counted by one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time_histogram::{TIME_BUCKETS, TimeHistogram};

/// The number of counts of a class without its answer times.
const PLAIN_COUNTS: usize = 5;

/// Outcomes in one request class. All counts are monotonic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Answers rated good.
    pub good: u64,
    /// Answers rated bad.
    pub bad: u64,
    /// Calls that the endpoint answered.
    pub answered: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Answered calls that were slow, by their latency objective or by the rate of their stream.
    pub slow: u64,
    /// Times of answers that are sent as a whole, in milliseconds.
    #[serde(default)]
    pub times: TimeHistogram,
    /// Times between the events of streams, in percent of what is usual.
    #[serde(default)]
    pub paces: TimeHistogram,
}

impl OutcomeCounts {
    fn pairs(&mut self, other: &OutcomeCounts) -> Vec<(&mut u64, u64)> {
        let mut pairs = Vec::with_capacity(PLAIN_COUNTS + 2 * TIME_BUCKETS);
        pairs.push((&mut self.good, other.good));
        pairs.push((&mut self.bad, other.bad));
        pairs.push((&mut self.answered, other.answered));
        pairs.push((&mut self.failed, other.failed));
        pairs.push((&mut self.slow, other.slow));
        let histograms = [
            (&mut self.times, &other.times),
            (&mut self.paces, &other.paces),
        ];
        for (histogram, other) in histograms {
            let others = other.counts.iter().copied();
            pairs.extend(histogram.counts.iter_mut().zip(others));
        }
        pairs
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &OutcomeCounts) {
        for (count, other) in self.pairs(other) {
            *count += other;
        }
    }

    /// Returns the difference to earlier counts, zero where the earlier count is higher.
    pub fn since(&self, earlier: &OutcomeCounts) -> OutcomeCounts {
        let mut difference = *self;
        for (count, earlier) in difference.pairs(earlier) {
            *count = count.saturating_sub(earlier);
        }
        difference
    }
}

/// Outcomes by request class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The counts of each class in which a request was counted.
    pub classes: BTreeMap<Arc<str>, OutcomeCounts>,
}

impl Evidence {
    /// Returns the counts of a class, created with zeros if absent.
    pub fn class_mut(&mut self, class: &Arc<str>) -> &mut OutcomeCounts {
        self.classes.entry(class.clone()).or_default()
    }

    /// Raises each count to the maximum of both, so that repeated and late messages are harmless.
    pub fn merge(&mut self, other: &Evidence) {
        for (class, counts) in &other.classes {
            for (count, other) in self.class_mut(class).pairs(counts) {
                *count = (*count).max(other);
            }
        }
    }

    /// Adds other evidence, class by class.
    pub fn add(&mut self, other: &Evidence) {
        for (class, counts) in &other.classes {
            self.class_mut(class).add(counts);
        }
    }

    /// Returns the difference to earlier evidence, zero where an earlier count is higher, without the
    /// classes in which nothing was counted since.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let mut difference = self.clone();
        for (class, counts) in &mut difference.classes {
            if let Some(earlier) = earlier.classes.get(class) {
                *counts = counts.since(earlier);
            }
        }
        let is_empty = |counts: &OutcomeCounts| *counts == OutcomeCounts::default();
        difference.classes.retain(|_, counts| !is_empty(counts));
        difference
    }

    /// Returns the sums over all classes.
    pub fn total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for counts in self.classes.values() {
            total.add(counts);
        }
        total
    }
}
