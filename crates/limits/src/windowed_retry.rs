//! The budget of repeated sends, over a sliding window.

use std::collections::VecDeque;

/// How finely the window is kept, in milliseconds.
const SLICE_MS: u64 = 500;

/// How much a service bears beyond the first send of each request, all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowedRetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are always allowed in a window.
    pub floor: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start_ms: u64,
    requests: u64,
    repeats: u64,
}

/// One instance's part of a service's budget.
///
/// Each instance allows repeats for its own requests, and its part of the floor, so that the sum
/// over all instances stays within the budget without a message between them.
///
/// # Examples
///
/// ```
/// use limits::{WindowedRetrySettings, WindowedRetryBudget};
///
/// let settings = WindowedRetrySettings { ratio: 0.5, floor: 2.0, window_ms: 10_000 };
/// let mut window = WindowedRetryBudget::new(settings);
/// window.record_request(0);
/// assert!(window.try_acquire(0, 2));
/// assert!(!window.try_acquire(0, 2));
/// ```
#[derive(Debug)]
pub struct WindowedRetryBudget {
    settings: WindowedRetrySettings,
    slices: VecDeque<Slice>,
}

impl WindowedRetryBudget {
    /// Starts with an empty window.
    pub fn new(settings: WindowedRetrySettings) -> WindowedRetryBudget {
        WindowedRetryBudget {
            settings,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.slice(now_ms).requests += 1;
    }

    /// Takes one repeat among `instances`, and returns whether there was one.
    pub fn try_acquire(&mut self, now_ms: u64, instances: usize) -> bool {
        let allowed = self.allowed(now_ms, instances);
        let used: u64 = self.slices.iter().map(|slice| slice.repeats).sum();
        if used as f64 + 1.0 > allowed {
            return false;
        }
        self.slice(now_ms).repeats += 1;
        true
    }

    /// Returns the part of the budget that is used, from 0 to 1.
    pub fn used_share(&mut self, now_ms: u64, instances: usize) -> f64 {
        let allowed = self.allowed(now_ms, instances);
        let used: u64 = self.slices.iter().map(|slice| slice.repeats).sum();
        if allowed <= 0.0 {
            return 1.0;
        }
        (used as f64 / allowed).min(1.0)
    }

    fn allowed(&mut self, now_ms: u64, instances: usize) -> f64 {
        self.forget(now_ms);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        requests as f64 * self.settings.ratio + self.settings.floor / instances.max(1) as f64
    }

    fn forget(&mut self, now_ms: u64) {
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
        let fresh = self
            .slices
            .back()
            .is_none_or(|slice| slice.start_ms < start_ms);
        if fresh {
            self.slices.push_back(Slice {
                start_ms,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
