//! Retry budget that successful calls refill.

/// Allows retries at other endpoints as a share of successful calls.
///
/// Unlike [`WindowedRetryBudget`](crate::WindowedRetryBudget) it has no clock and no minimum:
/// without successes, it runs out after `cap` retries.
#[derive(Debug, Clone)]
pub struct SuccessRetryBudget {
    retries_per_success: f64,
    cap: f64,
    tokens: f64,
}

impl SuccessRetryBudget {
    /// Creates a full budget that holds at most `cap` retries and gains `retries_per_success`.
    pub fn new(retries_per_success: f64, cap: f64) -> SuccessRetryBudget {
        SuccessRetryBudget {
            retries_per_success,
            cap,
            tokens: cap,
        }
    }

    /// Records a successful call, which adds to the budget.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.retries_per_success).min(self.cap);
    }

    /// Consumes one retry, or returns `false` if the budget is used up.
    pub fn try_acquire(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
