//! The budget of platform calls.

use std::sync::{Mutex, PoisonError};

use crate::error::StoreError;

const MS_PER_S: f64 = 1000.0;

/// How many platform calls an instance may make.
#[derive(Debug, Clone, Copy)]
pub struct RateLimits {
    /// Reads a second, a waiting watch included.
    pub reads_per_s: f64,
    /// Writes a second.
    pub writes_per_s: f64,
}

/// How many calls were made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads, watches included.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused for lack of budget.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    read_tokens: f64,
    write_tokens: f64,
    last_ms: u64,
    started: bool,
    usage: CallCounts,
}

/// Counts calls against a budget.
#[derive(Debug)]
pub struct RateLimiter {
    budget: RateLimits,
    state: Mutex<State>,
}

/// How many seconds of budget may be saved up.
const BURST_S: f64 = 5.0;

impl RateLimiter {
    /// Makes a meter with a full budget.
    pub fn new(budget: RateLimits) -> RateLimiter {
        RateLimiter {
            budget,
            state: Mutex::default(),
        }
    }

    /// Counts a read.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::RateLimited`] when the budget is used up.
    pub fn try_acquire_read(&self, now_ms: u64) -> Result<(), StoreError> {
        let mut state = self.refilled(now_ms);
        if state.read_tokens < 1.0 {
            state.usage.refused += 1;
            return Err(StoreError::RateLimited);
        }
        state.read_tokens -= 1.0;
        state.usage.reads += 1;
        Ok(())
    }

    /// Counts a write.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::RateLimited`] when the budget is used up.
    pub fn try_acquire_write(&self, now_ms: u64) -> Result<(), StoreError> {
        let mut state = self.refilled(now_ms);
        if state.write_tokens < 1.0 {
            state.usage.refused += 1;
            return Err(StoreError::RateLimited);
        }
        state.write_tokens -= 1.0;
        state.usage.writes += 1;
        Ok(())
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> CallCounts {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .usage
    }

    fn refilled(&self, now_ms: u64) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let read_cap = (self.budget.reads_per_s * BURST_S).max(1.0);
        let write_cap = (self.budget.writes_per_s * BURST_S).max(1.0);
        if !state.started {
            state.started = true;
            state.last_ms = now_ms;
            state.read_tokens = self.budget.reads_per_s.max(1.0);
            state.write_tokens = self.budget.writes_per_s.max(1.0);
        }
        let elapsed_s = now_ms.saturating_sub(state.last_ms) as f64 / MS_PER_S;
        state.last_ms = state.last_ms.max(now_ms);
        state.read_tokens = (state.read_tokens + elapsed_s * self.budget.reads_per_s).min(read_cap);
        state.write_tokens =
            (state.write_tokens + elapsed_s * self.budget.writes_per_s).min(write_cap);
        state
    }
}
