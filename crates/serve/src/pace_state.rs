//! The learned speed of one endpoint.

/// The time that one endpoint takes relative to others, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct PaceState;

impl PaceState {
    /// Returns the time relative to the other endpoints, or 1 while that is not known.
    pub(crate) fn time_ratio(&self, now_ms: u64) -> f64 {
        self.learned_ratio(now_ms).unwrap_or(1.0)
    }

    /// Returns the time relative to the other endpoints, if it is known and differs from theirs.
    pub(crate) fn learned_ratio(&self, _now_ms: u64) -> Option<f64> {
        None
    }
}
