//! Compares the outcomes of a new version with those of the old one.

use std::sync::Arc;

use crate::evidence::{Evidence, OutcomeCounts};
use crate::monitor::{ALL_CLASSES, Regression};
use crate::time_histogram::{TIME_BUCKETS, TimeHistogram};

/// Shares of calls that fail in addition on the worse versions that are considered.
const FAILURE_SHARES: [f64; 3] = [0.2, 0.4, 0.7];

/// Slowdowns on the worse versions that are considered, in buckets of the time histogram: by factors
/// of 2, 3.2, 5 and 8.
const SLOWDOWN_BUCKETS: [usize; 4] = [3, 5, 7, 9];

/// Shares of answers that are slowed down on the worse versions that are considered.
const SLOW_SHARES: [f64; 2] = [0.3, 0.6];

/// The smallest share of failed calls that is taken for normal: faults of endpoints cause as many.
const MIN_FAILED_SHARE: f64 = 0.03;

/// The calls for which the share of failures over all classes counts in the share of one class.
const PRIOR_CALLS: f64 = 2.0;

/// The answers that the prior distribution of times counts for.
const PRIOR_TIMES: f64 = 2.0;

/// The part of each bucket that is spread over each neighbour, so that few answers on the old
/// version do not rule out the times between theirs.
const SPREAD: f64 = 0.25;

/// The evidence that a good version on a slower endpoint gives up, in nats. Such a version is slower
/// in all answers by up to one bucket.
const SLOWER_ENDPOINT_NATS: f64 = 2.0;

/// The weight of the pace of one stream. Streams of one endpoint are slow together, for instance
/// while it reads a long prompt.
const STREAM_WEIGHT: f64 = 0.35;

/// How well the outcomes of a new version fit a worse version, compared with the old one.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// The logarithm of the Bayes factor of a worse version to one like the old, in nats.
    pub worse_nats: f64,
    /// The way in which the version is most likely worse.
    pub symptom: Regression,
    /// The class in which it is most likely worse, or a name for all classes.
    pub class: Arc<str>,
}

impl Comparison {
    /// Compares the outcomes of a new version with those of the old one, class by class.
    ///
    /// Worse versions fail more often or answer more slowly, in all classes alike or in one of them.
    ///
    /// # Examples
    ///
    /// ```
    /// use rollout::{Comparison, Evidence};
    ///
    /// let (mut new, mut old) = (Evidence::default(), Evidence::default());
    /// new.class_mut(&"orders".into()).failed = 5;
    /// old.class_mut(&"orders".into()).answered = 500;
    /// assert!(Comparison::new(&new, &old).worse_nats > 5.0);
    /// ```
    pub fn new(new: &Evidence, old: &Evidence) -> Comparison {
        let failures = by_failures(new, old).bayes_factor(Regression::Failures);
        let latency = by_times(new, old).bayes_factor(Regression::Latency);
        if latency.worse_nats > failures.worse_nats {
            latency
        } else {
            failures
        }
    }
}

/// The evidence for one kind of worse version, in nats, in each class.
type Row = Vec<f64>;

/// The evidence for all kinds of worse versions that show one symptom.
struct Table {
    classes: Vec<Arc<str>>,
    rows: Vec<Row>,
    /// The evidence for a good version on a slower endpoint, in nats.
    good_nats: f64,
}

impl Table {
    /// Averages the likelihoods of all kinds of worse versions.
    fn bayes_factor(&self, symptom: Regression) -> Comparison {
        let class_prior_nats = (self.classes.len().max(1) as f64).ln();
        let mut logs = Vec::new();
        let mut best = (f64::NEG_INFINITY, ALL_CLASSES.into());
        for row in &self.rows {
            let in_all = row.iter().sum::<f64>();
            logs.push(in_all);
            if in_all > best.0 {
                best = (in_all, ALL_CLASSES.into());
            }
            if row.len() < 2 {
                continue;
            }
            for (nats, class) in row.iter().zip(&self.classes) {
                let in_one = nats - class_prior_nats;
                logs.push(in_one);
                if in_one > best.0 {
                    best = (in_one, class.clone());
                }
            }
        }
        Comparison {
            worse_nats: log_mean_exp(&logs) - self.good_nats,
            symptom,
            class: best.1,
        }
    }
}

/// Returns the logarithm of the mean of the exponentials, or 0 without values.
fn log_mean_exp(logs: &[f64]) -> f64 {
    let highest = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if highest == f64::NEG_INFINITY {
        return 0.0;
    }
    let sum: f64 = logs.iter().map(|log| (log - highest).exp()).sum();
    highest + (sum / logs.len() as f64).ln()
}

fn by_failures(new: &Evidence, old: &Evidence) -> Table {
    let total = old.total();
    let total_share = (total.failed as f64 + 0.5) / ((total.failed + total.answered) as f64 + 1.0);
    let mut table = Table {
        classes: new.classes.keys().cloned().collect(),
        rows: vec![Row::new(); FAILURE_SHARES.len()],
        good_nats: 0.0,
    };
    for (class, counts) in &new.classes {
        let old_counts = old.classes.get(class).copied().unwrap_or_default();
        let normal = normal_share(&old_counts, total_share);
        for (row, added) in table.rows.iter_mut().zip(FAILURE_SHARES) {
            let worse = normal + (1.0 - normal) * added;
            let failed = counts.failed as f64 * (worse / normal).ln();
            let answered = counts.answered as f64 * ((1.0 - worse) / (1.0 - normal)).ln();
            row.push(failed + answered);
        }
    }
    table
}

fn normal_share(old: &OutcomeCounts, total_share: f64) -> f64 {
    let failed = old.failed as f64 + PRIOR_CALLS * total_share;
    let calls = (old.failed + old.answered) as f64 + PRIOR_CALLS;
    (failed / calls).clamp(MIN_FAILED_SHARE, 0.9)
}

fn by_times(new: &Evidence, old: &Evidence) -> Table {
    let mut table = Table {
        classes: new.classes.keys().cloned().collect(),
        rows: vec![Row::new(); SLOWDOWN_BUCKETS.len() * SLOW_SHARES.len()],
        good_nats: 0.0,
    };
    for (class, counts) in &new.classes {
        let old_counts = old.classes.get(class).copied().unwrap_or_default();
        let answers = TimeComparison::new(&counts.times, &old_counts.times, 1.0);
        let streams = TimeComparison::new(&counts.paces, &old_counts.paces, STREAM_WEIGHT);
        let mut rows = table.rows.iter_mut();
        for slowdown in SLOWDOWN_BUCKETS {
            for share in SLOW_SHARES {
                let nats = answers.slower(slowdown, share) + streams.slower(slowdown, share);
                rows.next().into_iter().for_each(|row| row.push(nats));
            }
        }
        table.good_nats += answers.slower(1, 1.0) + streams.slower(1, 1.0);
    }
    table.good_nats = (table.good_nats - SLOWER_ENDPOINT_NATS).max(0.0);
    table
}

/// The times of a class on the new version, and their distribution on the old one.
struct TimeComparison<'a> {
    new: &'a TimeHistogram,
    old: [f64; TIME_BUCKETS],
    weight: f64,
}

impl<'a> TimeComparison<'a> {
    fn new(new: &'a TimeHistogram, old: &TimeHistogram, weight: f64) -> TimeComparison<'a> {
        TimeComparison {
            new,
            old: distribution(old),
            weight,
        }
    }

    /// Returns the evidence, in nats, that a share of the answers is slower by some buckets.
    fn slower(&self, buckets: usize, share: f64) -> f64 {
        let mut nats = 0.0;
        for (bucket, count) in self.new.counts.iter().enumerate() {
            if *count == 0 {
                continue;
            }
            let usual = self.old[bucket];
            let slowed = match bucket {
                // The last bucket also holds what would lie beyond it.
                last if last == TIME_BUCKETS - 1 => self.old[last - buckets..].iter().sum(),
                bucket => bucket
                    .checked_sub(buckets)
                    .map_or(0.0, |from| self.old[from]),
            };
            let mixed = (1.0 - share) * usual + share * slowed;
            nats += *count as f64 * (mixed.max(f64::MIN_POSITIVE) / usual).ln();
        }
        nats * self.weight
    }
}

/// Estimates the distribution of which a histogram is a sample; no bucket has a share of zero.
fn distribution(histogram: &TimeHistogram) -> [f64; TIME_BUCKETS] {
    let mut weights = [PRIOR_TIMES / TIME_BUCKETS as f64; TIME_BUCKETS];
    for (bucket, count) in histogram.counts.iter().enumerate() {
        let count = *count as f64;
        let below = bucket.saturating_sub(1);
        let above = (bucket + 1).min(TIME_BUCKETS - 1);
        weights[below] += SPREAD * count;
        weights[bucket] += (1.0 - 2.0 * SPREAD) * count;
        weights[above] += SPREAD * count;
    }
    let sum: f64 = weights.iter().sum();
    weights.map(|weight| weight / sum)
}
