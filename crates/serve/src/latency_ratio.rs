//! How slow an endpoint is, relative to the others.

use std::cell::Cell;

/// Weight of the latest sample in the moving average.
const SMOOTHING: f64 = 0.15;

/// Time in which a ratio without samples loses half of its distance from 1, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;

/// Bounds on the effect of a single sample, relative to the baseline.
const MIN_RATIO: f64 = 0.25;
const MAX_RATIO: f64 = 8.0;

/// Moving average of the ratio of latencies to the baseline of all endpoints.
///
/// It approaches 1 while there are no samples, since an endpoint that seems slow gets no requests that
/// could correct it.
#[derive(Debug, Default)]
pub(crate) struct LatencyRatio {
    mean: Cell<Option<f64>>,
    /// When the last sample was recorded, in milliseconds.
    updated_ms: Cell<u64>,
}

impl LatencyRatio {
    pub(crate) fn ratio(&self, now_ms: u64) -> f64 {
        let mean = self.mean.get().unwrap_or(1.0);
        let age_ms = now_ms.saturating_sub(self.updated_ms.get());
        1.0 + (mean - 1.0) * 0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS)
    }

    pub(crate) fn record(&self, ratio: f64, now_ms: u64) {
        let mean = self.ratio(now_ms);
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        self.mean.set(Some(mean + SMOOTHING * (ratio - mean)));
        self.updated_ms.set(now_ms);
    }
}
