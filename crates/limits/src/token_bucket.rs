//! Token bucket rate limiter.

const MS_PER_S: f64 = 1000.0;

/// A token bucket whose rate may change while it is in use.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst_s: f64,
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket that holds the tokens of at most `burst_s` seconds, but at least one.
    pub fn new(rate_per_s: f64, burst_s: f64, now_ms: u64) -> TokenBucket {
        let mut bucket = TokenBucket {
            rate_per_s,
            burst_s,
            tokens: 0.0,
            refilled_ms: now_ms,
        };
        bucket.tokens = bucket.cap();
        bucket
    }

    /// Changes the rate, also for the time since the last refill.
    pub fn set_rate(&mut self, rate_per_s: f64, now_ms: u64) {
        self.rate_per_s = rate_per_s;
        self.refill(now_ms);
        self.tokens = self.tokens.min(self.cap());
    }

    /// Consumes one token.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds until a token is available, `u64::MAX` if the rate is zero.
    pub fn try_acquire(&mut self, now_ms: u64) -> Result<(), u64> {
        match self.wait_ms(now_ms) {
            0 => {
                self.tokens -= 1.0;
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Returns the time in milliseconds until a token is available, `u64::MAX` if the rate is zero.
    pub fn wait_ms(&mut self, now_ms: u64) -> u64 {
        self.refill(now_ms);
        if self.tokens >= 1.0 {
            return 0;
        }
        if self.rate_per_s <= 0.0 {
            return u64::MAX;
        }
        let missing = 1.0 - self.tokens;
        (missing / self.rate_per_s * MS_PER_S).ceil() as u64
    }

    fn cap(&self) -> f64 {
        if self.rate_per_s <= 0.0 {
            return 0.0;
        }
        (self.rate_per_s * self.burst_s).max(1.0)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / MS_PER_S;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.cap());
    }
}
