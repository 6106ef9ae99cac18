//! A token bucket.

const MS_PER_S: f64 = 1000.0;

/// A token bucket whose rate may change.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst_s: f64,
    tokens: f64,
    last_ms: u64,
}

impl TokenBucket {
    /// Makes a full bucket that saves up at most `burst_s` seconds of its rate.
    pub fn new(rate_per_s: f64, burst_s: f64, now_ms: u64) -> TokenBucket {
        let mut bucket = TokenBucket {
            rate_per_s,
            burst_s,
            tokens: 0.0,
            last_ms: now_ms,
        };
        bucket.tokens = bucket.cap();
        bucket
    }

    /// Changes the rate, as of the last look at the bucket.
    pub fn set_rate(&mut self, rate_per_s: f64, now_ms: u64) {
        self.rate_per_s = rate_per_s;
        self.refill(now_ms);
        self.tokens = self.tokens.min(self.cap());
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns after how many milliseconds there will be one.
    pub fn try_acquire(&mut self, now_ms: u64) -> Result<(), u64> {
        self.refill(now_ms);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.rate_per_s <= 0.0 {
            return Err(u64::MAX);
        }
        let missing = 1.0 - self.tokens;
        Err((missing / self.rate_per_s * MS_PER_S).ceil() as u64)
    }

    fn cap(&self) -> f64 {
        if self.rate_per_s <= 0.0 {
            return 0.0;
        }
        (self.rate_per_s * self.burst_s).max(1.0)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.last_ms) as f64 / MS_PER_S;
        self.last_ms = self.last_ms.max(now_ms);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.cap());
    }
}
