//! Outlier detection: temporary ejection of endpoints whose calls fail.

/// Weight of the latest outcome in the moving average.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Share of failures from which an endpoint is ejected.
const EJECTION_SHARE: f64 = 0.5;

/// Each further ejection lasts twice as long, up to the maximum.
const FIRST_EJECTION_MS: u64 = 1_000;

const MAX_EJECTION_MS: u64 = 30_000;

/// Health of an endpoint by its recent failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The endpoint may be selected.
    Usable,
    /// Ejected for its failures; selected only if too few healthy endpoints remain.
    Ejected,
}

/// Failure rate and ejections of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    failure_share: f64,
    ejected_until_ms: u64,
    ejections: u32,
}

impl OutlierDetector {
    /// Records the outcome of a call, which may eject the endpoint.
    pub fn record(&mut self, failed: bool, now_ms: u64) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_share += OUTCOME_WEIGHT * (outcome - self.failure_share);
        if !failed {
            self.ejections = self
                .ejections
                .saturating_sub(u32::from(self.failure_share < 0.05));
            return;
        }
        if self.failure_share >= EJECTION_SHARE && now_ms >= self.ejected_until_ms {
            let ejection_ms = (FIRST_EJECTION_MS << self.ejections.min(5)).min(MAX_EJECTION_MS);
            self.ejected_until_ms = now_ms + ejection_ms;
            self.ejections += 1;
        }
    }

    /// Returns whether the endpoint is ejected at this time.
    pub fn health(&self, now_ms: u64) -> Health {
        if now_ms < self.ejected_until_ms {
            Health::Ejected
        } else {
            Health::Usable
        }
    }
}
