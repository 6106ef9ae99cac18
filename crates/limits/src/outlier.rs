//! The ejection of endpoints that fail more than others.

/// The weight of the latest outcome.
const WEIGHT: f64 = 0.2;

/// The share of failures above which an endpoint is ejected.
const EJECT_SHARE: f64 = 0.5;

/// The first ejection's length, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;

/// The longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;

/// Whether an endpoint may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It may.
    Usable,
    /// It was ejected for its failures, but may be chosen when too many are.
    Ejected,
}

/// The recent failures of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    failure_share: f64,
    ejected_until_ms: u64,
    ejections: u32,
}

impl OutlierDetector {
    /// Notes the outcome of a call.
    pub fn record(&mut self, failed: bool, now_ms: u64) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_share += WEIGHT * (outcome - self.failure_share);
        if !failed {
            self.ejections = self
                .ejections
                .saturating_sub(u32::from(self.failure_share < 0.05));
            return;
        }
        if self.failure_share >= EJECT_SHARE && now_ms >= self.ejected_until_ms {
            let length_ms = (FIRST_EJECTION_MS << self.ejections.min(5)).min(MAX_EJECTION_MS);
            self.ejected_until_ms = now_ms + length_ms;
            self.ejections += 1;
        }
    }

    /// Returns whether the endpoint may be chosen.
    pub fn health(&self, now_ms: u64) -> Health {
        if now_ms < self.ejected_until_ms {
            Health::Ejected
        } else {
            Health::Usable
        }
    }
}
