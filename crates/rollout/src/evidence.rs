//! Outcomes of requests on one version, as counted by one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

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
}

impl OutcomeCounts {
    fn pairs(&mut self, other: &OutcomeCounts) -> [(&mut u64, u64); 5] {
        [
            (&mut self.good, other.good),
            (&mut self.bad, other.bad),
            (&mut self.answered, other.answered),
            (&mut self.failed, other.failed),
            (&mut self.slow, other.slow),
        ]
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

    /// Returns the sums over all classes.
    pub fn total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for counts in self.classes.values() {
            for (sum, count) in total.pairs(counts) {
                *sum += count;
            }
        }
        total
    }
}
