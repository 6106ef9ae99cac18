//! Retry-after delays for refused callers.

/// Spreads the retries of refused callers over the time that the excess load needs.
///
/// Callers that comply retry at most at the rate of the free capacity: each refusal reserves the
/// next free time slot, and jitter separates the callers of different instances.
#[derive(Debug, Clone, Default)]
pub struct RetryAfterSchedule {
    reserved_until_ms: f64,
}

const MIN_DELAY_MS: f64 = 50.0;

/// The longest delay before jitter.
const MAX_DELAY_MS: f64 = 30_000.0;

/// The largest jitter, as a share of the delay.
const JITTER_SHARE: f64 = 0.5;

const MS_PER_S: f64 = 1000.0;

impl RetryAfterSchedule {
    /// Reserves the next slot and returns the delay until then, in milliseconds.
    ///
    /// `free_per_s` is the expected rate of free slots per second, and `uniform` a random number
    /// from 0 to below 1.
    pub fn next_delay_ms(&mut self, now_ms: u64, free_per_s: f64, uniform: f64) -> u64 {
        let now = now_ms as f64;
        let step_ms = MS_PER_S / free_per_s.max(0.1);
        self.reserved_until_ms = self.reserved_until_ms.max(now).min(now + MAX_DELAY_MS) + step_ms;
        let delay = self.reserved_until_ms - now;
        let jittered = delay * (1.0 + JITTER_SHARE * uniform);
        jittered.clamp(MIN_DELAY_MS, MAX_DELAY_MS * (1.0 + JITTER_SHARE)) as u64
    }
}
