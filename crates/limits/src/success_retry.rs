//! The budget of retries at other endpoints.

/// Allows retries as a share of recent successes.
#[derive(Debug, Clone)]
pub struct SuccessRetryBudget {
    share: f64,
    cap: f64,
    tokens: f64,
}

impl SuccessRetryBudget {
    /// Makes a budget that saves up at most `cap` retries.
    pub fn new(share: f64, cap: f64) -> SuccessRetryBudget {
        SuccessRetryBudget {
            share,
            cap,
            tokens: cap,
        }
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }

    /// Takes one retry, and returns whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
