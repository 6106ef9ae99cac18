//! Retry budget of a service over a sliding window.

use std::collections::VecDeque;

use crate::fleet_size::Fleet;

/// The resolution of the window.
const SLICE_MS: u64 = 500;

/// Part of the ratio that each request adds to the credit for retries. The rest of the ratio bounds
/// the credit that earlier requests leave behind: a window may hold the retries of processes that
/// spent such credit and ended, beside those of the processes that have their callers now.
const EARNED_SHARE: f64 = 0.8;

/// The same part for a process in its first window. What the one before it sent in vain may still wait at
/// endpoints that are paused, and arrive beside its own.
const FIRST_EARNED_SHARE: f64 = 0.3;

/// Part of the floor that is kept as credit, so that a service with few requests can save up the
/// credit for one retry.
const MAX_FLOOR_CREDIT: f64 = 1.0;

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

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u64,
    retries: u64,
    /// The retries that arrive later than they were sent.
    late_retries: u64,
    /// The retries that the floor paid for.
    floor_retries: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start_ms: u64,
    counts: Counts,
}

/// What pays for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Credit,
    Floor,
    /// The floor, as far as the process's own requests have earned it.
    EarnedFloor,
}

fn slice_start_ms(at_ms: u64) -> u64 {
    at_ms - at_ms % SLICE_MS
}

/// One instance's part of a service's retry budget.
///
/// Each instance earns credit for retries by its own requests, and has its part of the floor, so
/// that the sum over all instances stays within the budget without coordination, also while
/// processes end and start. A process does not know what the one before it spent: it starts without
/// credit, and until it knows its fleet and has run for a window, it retries only what its own
/// requests have earned.
///
/// Unlike [`SuccessRetryBudget`](crate::SuccessRetryBudget) it counts requests whatever their
/// outcome, and old counts expire.
///
/// # Examples
///
/// ```
/// use limits::{Fleet, WindowedRetryBudget, WindowedRetrySettings};
///
/// let settings = WindowedRetrySettings { ratio: 0.5, floor: 2.0, window_ms: 10_000 };
/// let mut budget = WindowedRetryBudget::new(settings, 0);
/// assert!(!budget.try_acquire(5_000, Fleet::known(2)));
/// assert!(budget.try_acquire(10_000, Fleet::known(2)));
/// assert!(!budget.try_acquire(10_000, Fleet::known(2)));
/// ```
#[derive(Debug)]
pub struct WindowedRetryBudget {
    settings: WindowedRetrySettings,
    started_ms: u64,
    /// The slices of the current window, once the old ones were dropped.
    slices: VecDeque<Slice>,
    /// Retries that an endpoint may receive at any time from now on.
    late: u64,
    credit: f64,
    /// Whether the process has earned its first retry.
    has_earned_retry: bool,
    /// Whether the credit of the floor was granted.
    has_floor_credit: bool,
}

impl WindowedRetryBudget {
    /// Creates the budget of a process that started at `started_ms`.
    pub fn new(settings: WindowedRetrySettings, started_ms: u64) -> WindowedRetryBudget {
        WindowedRetryBudget {
            settings,
            started_ms,
            slices: VecDeque::new(),
            late: 0,
            credit: 0.0,
            has_earned_retry: false,
            has_floor_credit: false,
        }
    }

    /// Records the first send of a request, which adds to the budget.
    pub fn record_request(&mut self, now_ms: u64) {
        self.expire(now_ms);
        self.counts_at(now_ms).requests += 1;
        // The first retry comes early, as a single stream may depend on it.
        let share = if self.has_earned_retry {
            self.earned_share(now_ms)
        } else {
            EARNED_SHARE
        };
        self.credit += self.settings.ratio * share;
        self.has_earned_retry |= self.credit >= 1.0;
    }

    /// Consumes one retry, or returns `false` if this instance's part of the budget is used up.
    ///
    /// The floor is divided among the instances of the fleet.
    pub fn try_acquire(&mut self, now_ms: u64, fleet: Fleet) -> bool {
        self.update(now_ms, fleet);
        let Some(source) = self.source(now_ms, fleet) else {
            return false;
        };
        let counts = self.counts_at(now_ms);
        counts.retries += 1;
        match source {
            Source::Credit => self.credit -= 1.0,
            Source::Floor => counts.floor_retries += 1,
            Source::EarnedFloor => {
                counts.floor_retries += 1;
                self.credit = 0.0;
            }
        }
        true
    }

    /// Counts a retry that was acquired at a time as one that may arrive at any time from now on: an
    /// endpoint that does not answer may read it much later.
    pub fn defer_arrival(&mut self, acquired_ms: u64) {
        let start_ms = slice_start_ms(acquired_ms);
        let slice = self
            .slices
            .iter_mut()
            .find(|slice| slice.start_ms == start_ms);
        if let Some(slice) = slice {
            slice.counts.retries = slice.counts.retries.saturating_sub(1);
        }
        self.late += 1;
    }

    /// Counts a deferred retry as one that arrives now.
    pub fn record_arrival(&mut self, now_ms: u64) {
        self.late = self.late.saturating_sub(1);
        self.expire(now_ms);
        let counts = self.counts_at(now_ms);
        counts.retries += 1;
        counts.late_retries += 1;
    }

    /// Returns the used part of the budget, from 0 to 1; it is 1 while no retry is allowed.
    ///
    /// Both what the window allows and what is left for a burst of retries count.
    pub fn used_share(&mut self, now_ms: u64, fleet: Fleet) -> f64 {
        self.update(now_ms, fleet);
        if self.source(now_ms, fleet).is_none() {
            return 1.0;
        }
        let counts = self.window_counts();
        let mut allowed = counts.requests as f64 * self.settings.ratio;
        let mut most_left = self.max_credit(now_ms, fleet);
        let mut left = self.credit;
        if self.has_floor(now_ms, fleet) {
            allowed += self.floor_part(fleet);
            most_left += self.window_floor(fleet);
            left += self.window_floor(fleet) - counts.floor_retries as f64;
        }
        let of_window = counts.retries as f64 / allowed;
        let of_burst = 1.0 - left / most_left;
        of_window.max(of_burst).clamp(0.0, 1.0)
    }

    /// Returns how many retries are allowed at once now, without those that the floor allows only as far as
    /// requests have earned them.
    pub fn left(&mut self, now_ms: u64, fleet: Fleet) -> u64 {
        self.update(now_ms, fleet);
        let counts = self.window_counts();
        let in_window = self.most_in_window(counts, now_ms, fleet) - counts.retries as f64;
        let mut left = self.credit.floor();
        if self.has_floor(now_ms, fleet) {
            left += (self.window_floor(fleet) - counts.floor_retries as f64).max(0.0);
        }
        left.min(in_window).max(0.0) as u64
    }

    /// Returns what pays for the next retry, or `None` if nothing does.
    fn source(&self, now_ms: u64, fleet: Fleet) -> Option<Source> {
        let counts = self.window_counts();
        if counts.retries as f64 + 1.0 > self.most_in_window(counts, now_ms, fleet) {
            return None;
        }
        if self.credit >= 1.0 {
            return Some(Source::Credit);
        }
        if counts.floor_retries as f64 + 1.0 > self.window_floor(fleet) {
            return None;
        }
        if self.has_floor(now_ms, fleet) {
            return Some(Source::Floor);
        }
        let earned = counts.requests as f64 * self.settings.ratio * self.earned_share(now_ms);
        (counts.retries as f64 + 1.0 <= earned).then_some(Source::EarnedFloor)
    }

    /// Returns this instance's part of the floor.
    fn floor_part(&self, fleet: Fleet) -> f64 {
        self.settings.floor / fleet.instances.max(1) as f64
    }

    /// Returns what is kept as credit of this instance's part of the floor.
    fn floor_credit(&self, fleet: Fleet) -> f64 {
        self.floor_part(fleet).min(MAX_FLOOR_CREDIT)
    }

    /// Returns what is left of this instance's part of the floor for a window.
    fn window_floor(&self, fleet: Fleet) -> f64 {
        self.floor_part(fleet) - self.floor_credit(fleet)
    }

    /// Returns whether the floor may be used beyond what requests have earned.
    fn has_floor(&self, now_ms: u64, fleet: Fleet) -> bool {
        fleet.is_known && !self.is_in_first_window(now_ms)
    }

    fn is_in_first_window(&self, now_ms: u64) -> bool {
        now_ms < self.started_ms + self.settings.window_ms
    }

    /// Returns the part of the ratio that a request adds to the credit.
    fn earned_share(&self, now_ms: u64) -> f64 {
        if self.is_in_first_window(now_ms) {
            FIRST_EARNED_SHARE
        } else {
            EARNED_SHARE
        }
    }

    /// Returns how many retries may arrive in a window. Only its own requests count: the sum over many
    /// instances of what each had in its best of several windows is more than all had in any of them.
    /// Beside late retries of this process, those of processes that ended may arrive.
    fn most_in_window(&self, counts: Counts, now_ms: u64, fleet: Fleet) -> f64 {
        let share = if counts.late_retries > 0 {
            EARNED_SHARE
        } else {
            1.0
        };
        let requests = self.whole_requests(now_ms);
        let mut most = requests as f64 * self.settings.ratio * share;
        if self.has_floor(now_ms, fleet) {
            most += self.floor_part(fleet);
        }
        most
    }

    /// Returns the counts of the current window, with the retries that may arrive in it.
    fn window_counts(&self) -> Counts {
        let mut counts = self.counts();
        counts.retries += self.late;
        counts.late_retries += self.late;
        counts
    }

    /// Returns the requests of the current window, without a slice that began before it.
    fn whole_requests(&self, now_ms: u64) -> u64 {
        let from_ms = (now_ms + 1).saturating_sub(self.settings.window_ms);
        let is_within = |slice: &&Slice| slice.start_ms >= from_ms;
        let within = self.slices.iter().filter(is_within);
        within.map(|slice| slice.counts.requests).sum()
    }

    /// Returns the counts of the current window, with a slice that began before it.
    fn counts(&self) -> Counts {
        let mut sum = Counts::default();
        for slice in &self.slices {
            sum.requests += slice.counts.requests;
            sum.retries += slice.counts.retries;
            sum.late_retries += slice.counts.late_retries;
            sum.floor_retries += slice.counts.floor_retries;
        }
        sum
    }

    /// Grants the credit of the floor once it may be used, and drops old counts and excess credit.
    fn update(&mut self, now_ms: u64, fleet: Fleet) {
        self.expire(now_ms);
        if !self.has_floor_credit && self.has_floor(now_ms, fleet) {
            self.has_floor_credit = true;
            self.credit += self.floor_credit(fleet);
        }
        self.credit = self.credit.min(self.max_credit(now_ms, fleet));
    }

    /// Returns how much credit may be saved up: what the requests in the window may leave behind, the
    /// credit of the floor, and in any case a retry that they have earned.
    fn max_credit(&self, now_ms: u64, fleet: Fleet) -> f64 {
        let of_requests = self.counts().requests as f64 * self.settings.ratio;
        let mut most = of_requests * (1.0 - EARNED_SHARE);
        if self.has_floor(now_ms, fleet) {
            most += self.floor_credit(fleet);
        }
        most.max((of_requests * EARNED_SHARE).min(1.0))
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

    fn counts_at(&mut self, now_ms: u64) -> &mut Counts {
        let start_ms = slice_start_ms(now_ms);
        let is_new = self
            .slices
            .back()
            .is_none_or(|slice| slice.start_ms < start_ms);
        if is_new {
            self.slices.push_back(Slice {
                start_ms,
                counts: Counts::default(),
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last].counts
    }
}
