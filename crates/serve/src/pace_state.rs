//! The learned speed of one endpoint.

use std::cell::Cell;
use std::sync::Arc;

use crate::shared_pace::SharedPaces;

/// How long a comparison holds, in milliseconds: while requests arrive there is a newer one.
const RATIO_LIFETIME_MS: u64 = 5_000;

/// The time that one endpoint takes relative to others, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct PaceState {
    paces: Arc<SharedPaces>,
    endpoint: u64,
    ratio: Cell<Option<f64>>,
    compared_ms: Cell<u64>,
}

impl PaceState {
    /// Creates the state of the endpoint with this hash.
    pub(crate) fn new(paces: Arc<SharedPaces>, endpoint: u64) -> PaceState {
        PaceState {
            paces,
            endpoint,
            ..PaceState::default()
        }
    }

    /// Returns the time relative to the other endpoints, or 1 while that is not known.
    pub(crate) fn time_ratio(&self, now_ms: u64) -> f64 {
        self.learned_ratio(now_ms).unwrap_or(1.0)
    }

    /// Returns the time relative to the other endpoints, if it is known and differs from theirs.
    pub(crate) fn learned_ratio(&self, now_ms: u64) -> Option<f64> {
        let is_current = now_ms < self.compared_ms.get() + RATIO_LIFETIME_MS;
        self.ratio.get().filter(|_| is_current)
    }

    /// Sets the result of a comparison.
    pub(crate) fn set_ratio(&self, ratio: Option<f64>, now_ms: u64) {
        self.ratio.set(ratio);
        self.compared_ms.set(now_ms);
    }

    /// Records how long work took relative to what is usual for such work.
    pub(crate) fn record(&self, time_ratio: f64, weight: f64, now_ms: u64) {
        self.paces.record(self.endpoint, time_ratio, weight, now_ms);
    }
}
