//! A histogram of answer times with buckets of equal width in octaves.

use serde::{Deserialize, Serialize};

/// The number of buckets. The last one begins at 5 s.
pub const TIME_BUCKETS: usize = 32;

/// Buckets for each doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 3.0;

/// The time at which the widths of buckets begin, in milliseconds. Shorter times are counted in the
/// first bucket: they tell more of the way to an endpoint than of its version.
const FIRST_MS: f64 = 4.0;

/// Counts of answers by their time. The first bucket ends at 5 ms, and each further one is as wide as
/// a third of a doubling.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeHistogram {
    /// The number of answers in each bucket.
    pub counts: [u64; TIME_BUCKETS],
}

impl TimeHistogram {
    /// Counts an answer that took this time, in milliseconds.
    pub fn record(&mut self, time_ms: f64) {
        let octaves = (time_ms / FIRST_MS).max(1.0).log2();
        let bucket = (BUCKETS_PER_OCTAVE * octaves) as usize;
        self.counts[bucket.min(TIME_BUCKETS - 1)] += 1;
    }

    /// Returns the number of answers.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Returns the lower bound of the bucket that holds this quantile, in milliseconds, or `None`
    /// without answers.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let rank = self.total() as f64 * quantile;
        let mut below = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            below += count;
            if below > 0 && below as f64 >= rank {
                return Some(FIRST_MS * (bucket as f64 / BUCKETS_PER_OCTAVE).exp2());
            }
        }
        None
    }
}
