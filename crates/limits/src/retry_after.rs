//! The moment at which a refused caller should come back.

/// Spreads refused callers over the time that the excess needs.
///
/// Callers that obey come back at a rate of the capacity at most: each refusal books the next
/// free moment, and a random part keeps callers of several instances apart.
#[derive(Debug, Clone, Default)]
pub struct RetryAfterSchedule {
    booked_until_ms: f64,
}

/// The shortest delay, in milliseconds.
const MIN_DELAY_MS: f64 = 50.0;

/// The longest delay, in milliseconds.
const MAX_DELAY_MS: f64 = 30_000.0;

/// The share of the delay that is random.
const JITTER_SHARE: f64 = 0.5;

const MS_PER_S: f64 = 1000.0;

impl RetryAfterSchedule {
    /// Books a moment and returns the delay, in milliseconds.
    ///
    /// `free_per_s` is the rate at which room is expected, and `uniform` a random number below 1.
    pub fn next_delay_ms(&mut self, now_ms: u64, free_per_s: f64, uniform: f64) -> u64 {
        let now = now_ms as f64;
        let step_ms = MS_PER_S / free_per_s.max(0.1);
        self.booked_until_ms = self.booked_until_ms.max(now).min(now + MAX_DELAY_MS) + step_ms;
        let delay = self.booked_until_ms - now;
        let jittered = delay * (1.0 + JITTER_SHARE * uniform);
        jittered.clamp(MIN_DELAY_MS, MAX_DELAY_MS * (1.0 + JITTER_SHARE)) as u64
    }
}
