//! Retry budget of a service over a sliding window.

use std::collections::VecDeque;

/// The resolution of the window.
const SLICE_MS: u64 = 500;

/// Limits on the retries of one service, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowedRetrySettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window regardless of the number of requests.
    pub floor: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start_ms: u64,
    requests: u64,
    retries: u64,
}

/// One instance's part of a service's retry budget.
///
/// Each instance allows retries in proportion to its own requests, and its part of the floor, so
/// that the sum over all instances stays within the budget without coordination. Unlike
/// [`SuccessRetryBudget`](crate::SuccessRetryBudget) it counts requests whatever their outcome, and
/// old counts expire.
///
/// # Examples
///
/// ```
/// use limits::{WindowedRetrySettings, WindowedRetryBudget};
///
/// let settings = WindowedRetrySettings { ratio: 0.5, floor: 2.0, window_ms: 10_000 };
/// let mut budget = WindowedRetryBudget::new(settings);
/// budget.record_request(0);
/// assert!(budget.try_acquire(0, 2));
/// assert!(!budget.try_acquire(0, 2));
/// ```
#[derive(Debug)]
pub struct WindowedRetryBudget {
    settings: WindowedRetrySettings,
    slices: VecDeque<Slice>,
}

impl WindowedRetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(settings: WindowedRetrySettings) -> WindowedRetryBudget {
        WindowedRetryBudget {
            settings,
            slices: VecDeque::new(),
        }
    }

    /// Records the first send of a request, which adds to the budget.
    pub fn record_request(&mut self, now_ms: u64) {
        self.slice(now_ms).requests += 1;
    }

    /// Consumes one retry, or returns `false` if this instance's part of the budget is used up.
    pub fn try_acquire(&mut self, now_ms: u64, instances: usize) -> bool {
        let allowed = self.allowed(now_ms, instances);
        let used: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        if used as f64 + 1.0 > allowed {
            return false;
        }
        self.slice(now_ms).retries += 1;
        true
    }

    /// Returns the used part of the budget, from 0 to 1.
    pub fn used_share(&mut self, now_ms: u64, instances: usize) -> f64 {
        let allowed = self.allowed(now_ms, instances);
        let used: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        if allowed <= 0.0 {
            return 1.0;
        }
        (used as f64 / allowed).min(1.0)
    }

    fn allowed(&mut self, now_ms: u64, instances: usize) -> f64 {
        self.expire(now_ms);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        requests as f64 * self.settings.ratio + self.settings.floor / instances.max(1) as f64
    }

    fn expire(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.settings.window_ms);
        while let Some(slice) = self.slices.front() {
            if slice.start_ms + SLICE_MS > oldest_ms {
                return;
            }
            self.slices.pop_front();
        }
    }

    fn slice(&mut self, now_ms: u64) -> &mut Slice {
        let start_ms = now_ms - now_ms % SLICE_MS;
        let is_new = self
            .slices
            .back()
            .is_none_or(|slice| slice.start_ms < start_ms);
        if is_new {
            self.slices.push_back(Slice {
                start_ms,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
