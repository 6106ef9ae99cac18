//! The windows of time over which burn is looked at.

use receipt::{LATENCY_BINS, SloBucket};
use serde::Serialize;

const MINUTE_MS: u64 = 60_000;

/// One window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// The name.
    pub name: &'static str,
    /// The length, in milliseconds.
    pub length_ms: u64,
}

/// The windows, shortest first.
pub const WINDOWS: [Window; 4] = [
    Window {
        name: "5m",
        length_ms: 5 * MINUTE_MS,
    },
    Window {
        name: "30m",
        length_ms: 30 * MINUTE_MS,
    },
    Window {
        name: "1h",
        length_ms: 60 * MINUTE_MS,
    },
    Window {
        name: "6h",
        length_ms: 360 * MINUTE_MS,
    },
];

/// Sums over the buckets of one window.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WindowTotals {
    /// Requests.
    pub requests: u64,
    /// Requests that missed the objective or failed.
    pub bad: u64,
    /// Requests that an unproven version took part in.
    pub unproven: u64,
    /// The cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// First-token latencies by bin.
    #[serde(skip)]
    pub first_token_bins: Vec<u64>,
    /// Whole-answer latencies by bin.
    #[serde(skip)]
    pub total_bins: Vec<u64>,
}

impl WindowTotals {
    /// Sums the buckets that began within a window before now.
    pub fn over<'a>(
        buckets: impl Iterator<Item = &'a SloBucket>,
        window: Window,
        now_ms: u64,
    ) -> WindowTotals {
        let mut sum = WindowTotals {
            first_token_bins: vec![0; LATENCY_BINS],
            total_bins: vec![0; LATENCY_BINS],
            ..WindowTotals::default()
        };
        for bucket in buckets {
            if bucket.start_ms + window.length_ms <= now_ms {
                continue;
            }
            sum.requests += bucket.requests;
            sum.bad += bucket.bad;
            sum.unproven += bucket.unproven;
            sum.cost_micros += bucket.cost_micros;
            add(&mut sum.first_token_bins, &bucket.first_token_bins);
            add(&mut sum.total_bins, &bucket.total_bins);
        }
        sum
    }

    /// Returns how many times faster than allowed the error budget is spent.
    pub fn burn_rate(&self, objective_share: f64) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let allowed = (1.0 - objective_share).max(1e-6);
        self.bad as f64 / self.requests as f64 / allowed
    }
}

fn add(to: &mut [u64], from: &[u64]) {
    for (sum, more) in to.iter_mut().zip(from) {
        *sum += more;
    }
}

/// Returns the upper bound of the bin that holds a quantile, in milliseconds.
pub(crate) fn quantile_ms(bins: &[u64], quantile: f64) -> u64 {
    let total: u64 = bins.iter().sum();
    let rank = (total as f64 * quantile).ceil() as u64;
    let mut seen = 0;
    for (index, count) in bins.iter().enumerate() {
        seen += count;
        if seen >= rank && total > 0 {
            return 1 << index;
        }
    }
    0
}
