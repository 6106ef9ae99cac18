//! Statements: the settled usage, cost and service levels of a workspace.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::interval_set::IntervalSet;
use crate::receipt::{Outcome, Receipt};

/// The time span of an [`SloBucket`], in milliseconds.
const BUCKET_MS: u64 = 60_000;

/// The retention period of buckets, in milliseconds.
const BUCKET_RETENTION_MS: u64 = 6 * 3_600_000;

/// The maximum number of buckets, which keeps a statement below the platform's value limit.
const MAX_BUCKETS: usize = 2_400;

/// The age after which a receipt is no longer billed, in milliseconds.
///
/// The numbers of an incarnation are kept for twice this time after its last receipt.
const MAX_RECEIPT_AGE_MS: u64 = 24 * 3_600_000;

/// The number of bins of a latency histogram. The last bin has no upper bound.
pub const LATENCY_BINS: usize = 18;

/// Returns the bin of a latency: bin `n` holds latencies from `2^(n-1)` up to below `2^n` ms.
fn latency_bin(latency_ms: u64) -> usize {
    let bits = u64::BITS - latency_ms.leading_zeros();
    (bits as usize).min(LATENCY_BINS - 1)
}

/// Totals over billed requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The number of billed requests.
    pub requests: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
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

/// Totals over the billed requests of one arm of an experiment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmTotals {
    /// The number of billed requests.
    pub requests: u64,
    /// The number of requests that missed the objective or failed.
    pub bad: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The sum of the squared costs of the requests, for the variance.
    pub cost_squares: f64,
    /// The sum of the times to the complete answer, in milliseconds.
    pub total_ms: u64,
    /// The sum of the squares of these times, for the variance.
    pub total_squares: f64,
}

impl ArmTotals {
    /// Adds the totals of the same arm from another settlement shard.
    pub fn merge(&mut self, other: &ArmTotals) {
        self.requests += other.requests;
        self.bad += other.bad;
        self.cost_micros += other.cost_micros;
        self.cost_squares += other.cost_squares;
        self.total_ms += other.total_ms;
        self.total_squares += other.total_squares;
    }

    fn add(&mut self, receipt: &Receipt) {
        let usage = &receipt.usage;
        self.requests += 1;
        self.bad += u64::from(!usage.in_objective || usage.outcome == Outcome::Failed);
        self.cost_micros += usage.cost_micros;
        self.cost_squares += (usage.cost_micros as f64).powi(2);
        self.total_ms += usage.total_ms;
        self.total_squares += (usage.total_ms as f64).powi(2);
    }
}

/// The service levels of one request class over one minute.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SloBucket {
    /// The start of the minute, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The request class.
    pub class: Arc<str>,
    /// The number of billed requests.
    pub requests: u64,
    /// The number of requests that missed the objective or failed.
    pub bad: u64,
    /// The number of requests with an attempt on an unproven version.
    pub unproven: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The histogram of times to the first token, with [`LATENCY_BINS`] bins.
    pub first_token_bins: Vec<u64>,
    /// The histogram of times to the complete answer, with [`LATENCY_BINS`] bins.
    pub total_bins: Vec<u64>,
}

/// The receipts of one incarnation that a statement contains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedReceipts {
    /// The sequence numbers of the receipts.
    pub numbers: IntervalSet,
    /// The latest end of any of the requests, or when the latest receipt came that was too late, in
    /// milliseconds since the Unix epoch.
    pub last_ms: u64,
}

/// The statement of one workspace in one settlement shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Totals over all billed requests.
    pub totals: Totals,
    /// Totals by version or service.
    pub by_version: BTreeMap<Arc<str>, Totals>,
    /// Totals by arm of an experiment, as `EXPERIMENT/POLICY`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub by_arm: BTreeMap<Arc<str>, ArmTotals>,
    /// The receipts contained, by issuing incarnation.
    #[serde(rename = "folded")]
    pub applied: BTreeMap<Incarnation, AppliedReceipts>,
    /// The service levels by minute and request class, in order of settlement.
    pub buckets: Vec<SloBucket>,
    /// The number of receipts that were settled too late and not billed.
    pub too_late: u64,
}

impl Statement {
    /// Adds the receipts that the statement does not contain yet and returns their number.
    pub fn apply(&mut self, receipts: &[Receipt], now_ms: u64) -> u64 {
        let mut count = 0;
        for receipt in receipts {
            let applied = self.applied.entry(receipt.home).or_default();
            if !applied.numbers.insert(receipt.number) {
                continue;
            }
            if receipt.ended_ms + MAX_RECEIPT_AGE_MS < now_ms {
                self.too_late += 1;
                // Its home and a peer may both save it, so that it comes once more.
                applied.last_ms = applied.last_ms.max(now_ms);
                continue;
            }
            applied.last_ms = applied.last_ms.max(receipt.ended_ms);
            self.totals.add(receipt);
            self.by_version
                .entry(receipt.usage.version.clone())
                .or_default()
                .add(receipt);
            if let Some(arm) = &receipt.usage.arm {
                self.by_arm.entry(arm.clone()).or_default().add(receipt);
            }
            self.add_to_bucket(receipt);
            count += 1;
        }
        self.prune(now_ms);
        count
    }

    fn add_to_bucket(&mut self, receipt: &Receipt) {
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

    fn prune(&mut self, now_ms: u64) {
        self.buckets
            .retain(|bucket| bucket.start_ms + BUCKET_RETENTION_MS > now_ms);
        let excess = self.buckets.len().saturating_sub(MAX_BUCKETS);
        self.buckets.drain(..excess);
        self.applied
            .retain(|_, applied| applied.last_ms + 2 * MAX_RECEIPT_AGE_MS > now_ms);
    }
}
