//! Outcomes on one version, as one instance counted them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Outcomes in one request class. All counts only rise.
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
    /// Answers that took longer than the objective.
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

    /// Returns what was counted since earlier counts.
    pub fn since(&self, earlier: &OutcomeCounts) -> OutcomeCounts {
        let mut since = *self;
        for (count, before) in since.pairs(earlier) {
            *count = count.saturating_sub(before);
        }
        since
    }
}

/// Outcomes by request class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The counts.
    pub classes: BTreeMap<Arc<str>, OutcomeCounts>,
}

impl Evidence {
    /// Returns the counts of a class, for counting.
    pub fn class_mut(&mut self, class: &Arc<str>) -> &mut OutcomeCounts {
        self.classes.entry(class.clone()).or_default()
    }

    /// Raises each count to the other's, so that repeated and late messages do no harm.
    pub fn merge(&mut self, other: &Evidence) {
        for (class, counts) in &other.classes {
            for (count, seen) in self.class_mut(class).pairs(counts) {
                *count = (*count).max(seen);
            }
        }
    }

    /// Returns the sums over all classes.
    pub fn total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for counts in self.classes.values() {
            for (count, more) in total.pairs(counts) {
                *count += more;
            }
        }
        total
    }
}
