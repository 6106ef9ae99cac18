//! Client-side rate limiting of platform calls.

use std::sync::{Mutex, PoisonError};

use crate::error::StoreError;

const MS_PER_S: f64 = 1000.0;

/// The rates at which an instance may call the platform.
#[derive(Debug, Clone, Copy)]
pub struct RateLimits {
    /// Reads per second. A watch counts as one read.
    pub reads_per_s: f64,
    /// Writes per second.
    pub writes_per_s: f64,
}

/// The number of calls since start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads sent, including watches.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Calls not sent because the rate limit was reached.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    read_tokens: f64,
    write_tokens: f64,
    last_ms: u64,
    started: bool,
    counts: CallCounts,
}

/// Two token buckets, one for reads and one for writes, and the number of calls.
#[derive(Debug)]
pub struct RateLimiter {
    limits: RateLimits,
    state: Mutex<State>,
}

/// The burst size of both buckets, in seconds at the full rate. A bucket holds at least one call.
const BURST_S: f64 = 5.0;

impl RateLimiter {
    /// Creates a limiter whose buckets start with the calls of one second, but at least one call.
    pub fn new(limits: RateLimits) -> RateLimiter {
        RateLimiter {
            limits,
            state: Mutex::default(),
        }
    }

    /// Takes a token for one read, with the monotonic time in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::RateLimited`] if no token is left.
    pub fn try_acquire_read(&self, now_ms: u64) -> Result<(), StoreError> {
        let mut state = self.lock_refilled(now_ms);
        if state.read_tokens < 1.0 {
            state.counts.refused += 1;
            return Err(StoreError::RateLimited);
        }
        state.read_tokens -= 1.0;
        state.counts.reads += 1;
        Ok(())
    }

    /// Takes a token for one write, with the monotonic time in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::RateLimited`] if no token is left.
    pub fn try_acquire_write(&self, now_ms: u64) -> Result<(), StoreError> {
        let mut state = self.lock_refilled(now_ms);
        if state.write_tokens < 1.0 {
            state.counts.refused += 1;
            return Err(StoreError::RateLimited);
        }
        state.write_tokens -= 1.0;
        state.counts.writes += 1;
        Ok(())
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .counts
    }

    fn lock_refilled(&self, now_ms: u64) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let read_cap = (self.limits.reads_per_s * BURST_S).max(1.0);
        let write_cap = (self.limits.writes_per_s * BURST_S).max(1.0);
        if !state.started {
            state.started = true;
            state.last_ms = now_ms;
            state.read_tokens = self.limits.reads_per_s.max(1.0);
            state.write_tokens = self.limits.writes_per_s.max(1.0);
        }
        let elapsed_s = now_ms.saturating_sub(state.last_ms) as f64 / MS_PER_S;
        state.last_ms = state.last_ms.max(now_ms);
        state.read_tokens = (state.read_tokens + elapsed_s * self.limits.reads_per_s).min(read_cap);
        state.write_tokens =
            (state.write_tokens + elapsed_s * self.limits.writes_per_s).min(write_cap);
        state
    }
}
