//! The time windows over which burn rates are computed.

use receipt::{LATENCY_BINS, SloBucket};
use serde::Serialize;

const MINUTE_MS: u64 = 60_000;

/// A time window that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Name, as the report shows it.
    pub name: &'static str,
    /// Length, in milliseconds.
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

/// Totals over the buckets of one window.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WindowTotals {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that missed the objective or failed.
    pub bad: u64,
    /// Number of requests in which an unproven version took part.
    pub unproven: u64,
    /// Cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// Histogram of the time to the first token; bin `i` holds times below 2^`i` ms.
    #[serde(skip)]
    pub first_token_bins: Vec<u64>,
    /// Histogram of the time to the complete answer, with the same bins.
    #[serde(skip)]
    pub total_bins: Vec<u64>,
}

impl WindowTotals {
    /// Adds up the buckets that start within the window before `now_ms`.
    pub fn over<'a>(
        buckets: impl Iterator<Item = &'a SloBucket>,
        window: Window,
        now_ms: u64,
    ) -> WindowTotals {
        let mut totals = WindowTotals {
            first_token_bins: vec![0; LATENCY_BINS],
            total_bins: vec![0; LATENCY_BINS],
            ..WindowTotals::default()
        };
        for bucket in buckets {
            if bucket.start_ms + window.length_ms <= now_ms {
                continue;
            }
            totals.requests += bucket.requests;
            totals.bad += bucket.bad;
            totals.unproven += bucket.unproven;
            totals.cost_micros += bucket.cost_micros;
            add_bins(&mut totals.first_token_bins, &bucket.first_token_bins);
            add_bins(&mut totals.total_bins, &bucket.total_bins);
        }
        totals
    }

    /// Returns the burn rate: how many times faster than allowed the error budget is spent.
    pub fn burn_rate(&self, objective_share: f64) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let allowed = (1.0 - objective_share).max(1e-6);
        self.bad as f64 / self.requests as f64 / allowed
    }
}

fn add_bins(sums: &mut [u64], bins: &[u64]) {
    for (sum, bin) in sums.iter_mut().zip(bins) {
        *sum += bin;
    }
}

/// Returns the upper bound of the histogram bin that holds a quantile, in milliseconds, or 0 for an
/// empty histogram.
pub(crate) fn quantile_ms(bins: &[u64], quantile: f64) -> u64 {
    let total: u64 = bins.iter().sum();
    let rank = (total as f64 * quantile).ceil() as u64;
    let mut cumulative = 0;
    for (index, count) in bins.iter().enumerate() {
        cumulative += count;
        if cumulative >= rank && total > 0 {
            return 1 << index;
        }
    }
    0
}
