//! The settled account of one workspace.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::interval_set::IntervalSet;
use crate::receipt::{Outcome, Receipt};

/// The width of one bucket of the service-level record, in milliseconds.
pub const BUCKET_MS: u64 = 60_000;

/// How long buckets are kept, in milliseconds.
const BUCKET_KEEP_MS: u64 = 6 * 3_600_000;

/// The most buckets, which keeps a statement below the platform's largest value.
const MAX_BUCKETS: usize = 2_400;

/// How long the numbers of a silent incarnation are kept, in milliseconds.
const HORIZON_MS: u64 = 24 * 3_600_000;

/// The number of latency bins.
pub const LATENCY_BINS: usize = 18;

/// Returns the bin of a latency: bin `n` holds latencies below `2^n` milliseconds.
pub fn latency_bin(latency_ms: u64) -> usize {
    let bits = u64::BITS - latency_ms.leading_zeros();
    (bits as usize).min(LATENCY_BINS - 1)
}

/// Sums over billed requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Billed requests.
    pub requests: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

impl Totals {
    fn add(&mut self, receipt: &Receipt) {
        self.requests += 1;
        self.cost_micros += receipt.usage.cost_micros;
        self.prompt_tokens += receipt.usage.prompt_tokens;
        self.completion_tokens += receipt.usage.completion_tokens;
    }
}

/// Sums over the requests of one arm of an experiment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmTotals {
    /// Billed requests.
    pub requests: u64,
    /// Requests that missed the objective or failed.
    pub bad: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The sum of squares of the cost.
    pub cost_squares: f64,
    /// The sum of times to the whole answer, in milliseconds.
    pub total_ms: u64,
    /// The sum of squares of these times.
    pub total_squares: f64,
}

impl ArmTotals {
    /// Adds the sums of another shard.
    pub fn merge(&mut self, other: &ArmTotals) {
        self.requests += other.requests;
        self.bad += other.bad;
        self.cost_micros += other.cost_micros;
        self.cost_squares += other.cost_squares;
        self.total_ms += other.total_ms;
        self.total_squares += other.total_squares;
    }

    fn add(&mut self, receipt: &Receipt) {
        let work = &receipt.usage;
        self.requests += 1;
        self.bad += u64::from(!work.in_objective || work.outcome == Outcome::Failed);
        self.cost_micros += work.cost_micros;
        self.cost_squares += (work.cost_micros as f64).powi(2);
        self.total_ms += work.total_ms;
        self.total_squares += (work.total_ms as f64).powi(2);
    }
}

/// The service-level record of one class over one stretch of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SloBucket {
    /// The start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The request class.
    pub class: Arc<str>,
    /// Requests.
    pub requests: u64,
    /// Requests that missed the objective or failed.
    pub bad: u64,
    /// Requests that an unproven version took part in.
    pub unproven: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// First-token latencies by bin.
    pub first_token_bins: Vec<u64>,
    /// Whole-answer latencies by bin.
    pub total_bins: Vec<u64>,
}

/// The numbers taken in from one incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedReceipts {
    /// The numbers.
    pub numbers: IntervalSet,
    /// The latest end of a request, in milliseconds since the Unix epoch.
    pub last_ms: u64,
}

/// The settled account of one workspace and shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Sums over all requests.
    pub totals: Totals,
    /// Sums by version or service.
    pub by_version: BTreeMap<Arc<str>, Totals>,
    /// Sums by arm of an experiment.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub by_arm: BTreeMap<Arc<str>, ArmTotals>,
    /// What was taken in, by incarnation.
    #[serde(rename = "folded")]
    pub applied: BTreeMap<Incarnation, AppliedReceipts>,
    /// The service-level record.
    pub buckets: Vec<SloBucket>,
    /// Receipts that came after the horizon and were not billed.
    pub too_late: u64,
}

impl Statement {
    /// Takes in the receipts that it does not hold yet and returns how many those were.
    pub fn apply(&mut self, receipts: &[Receipt], now_ms: u64) -> u64 {
        let mut count = 0;
        for receipt in receipts {
            if receipt.ended_ms + HORIZON_MS < now_ms {
                self.too_late += u64::from(!self.contains(receipt));
                continue;
            }
            let folded = self.applied.entry(receipt.home).or_default();
            if !folded.numbers.insert(receipt.number) {
                continue;
            }
            folded.last_ms = folded.last_ms.max(receipt.ended_ms);
            self.totals.add(receipt);
            self.by_version
                .entry(receipt.usage.version.clone())
                .or_default()
                .add(receipt);
            if let Some(arm) = &receipt.usage.arm {
                self.by_arm.entry(arm.clone()).or_default().add(receipt);
            }
            self.bucket(receipt);
            count += 1;
        }
        self.forget(now_ms);
        count
    }

    /// Returns whether a receipt was taken in.
    pub fn contains(&self, receipt: &Receipt) -> bool {
        self.applied
            .get(&receipt.home)
            .is_some_and(|folded| folded.numbers.contains(receipt.number))
    }

    fn bucket(&mut self, receipt: &Receipt) {
        let start_ms = receipt.ended_ms - receipt.ended_ms % BUCKET_MS;
        let class = &receipt.usage.class;
        let found = self
            .buckets
            .iter()
            .rposition(|bucket| bucket.start_ms == start_ms && bucket.class == *class);
        let index = found.unwrap_or_else(|| {
            self.buckets.push(SloBucket {
                start_ms,
                class: class.clone(),
                requests: 0,
                bad: 0,
                unproven: 0,
                cost_micros: 0,
                first_token_bins: vec![0; LATENCY_BINS],
                total_bins: vec![0; LATENCY_BINS],
            });
            self.buckets.len() - 1
        });
        let bucket = &mut self.buckets[index];
        let good = receipt.usage.in_objective && receipt.usage.outcome != Outcome::Failed;
        bucket.requests += 1;
        bucket.bad += u64::from(!good);
        bucket.unproven += u64::from(receipt.usage.unproven);
        bucket.cost_micros += receipt.usage.cost_micros;
        bucket.first_token_bins[latency_bin(receipt.usage.first_token_ms)] += 1;
        bucket.total_bins[latency_bin(receipt.usage.total_ms)] += 1;
    }

    fn forget(&mut self, now_ms: u64) {
        self.buckets
            .retain(|bucket| bucket.start_ms + BUCKET_KEEP_MS > now_ms);
        let excess = self.buckets.len().saturating_sub(MAX_BUCKETS);
        self.buckets.drain(..excess);
        self.applied
            .retain(|_, folded| folded.last_ms + 2 * HORIZON_MS > now_ms);
    }
}
