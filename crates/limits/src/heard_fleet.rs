//! Whether an instance hears enough of its fleet to rank itself among the others.
//!
//! It addresses instances that have just started, and those that a partition or the loss of many others leaves
//! with few peers: by their own count each would be among the first.

use std::collections::VecDeque;

/// How long the instances count that were heard, in milliseconds. Instances that are cut off from one another
/// must not come to think that each is alone: with the 5 s of a shorter memory a fleet in many pieces would
/// exceed the bound.
const MEMORY_MS: u64 = 120_000;

/// How long an instance that starts waits, in milliseconds: by then it has the member table of a peer, and
/// the others have it in theirs.
const SETTLE_MS: u64 = 2_000;

/// What an instance hears of the others.
///
/// # Examples
///
/// ```
/// use limits::HeardFleet;
///
/// let mut fleet = HeardFleet::new(6, 0);
/// assert!(!fleet.may_rank(1_000, 6));
/// assert!(fleet.may_rank(2_000, 6));
/// assert!(!fleet.may_rank(3_000, 2));
/// assert!(HeardFleet::new(1, 0).may_rank(0, 1));
/// ```
#[derive(Debug)]
pub struct HeardFleet {
    configured: usize,
    started_ms: u64,
    /// Decreasing numbers of instances and when they were heard, in milliseconds.
    heard: VecDeque<(u64, usize)>,
}

impl HeardFleet {
    /// Creates a fleet whose settings name this many instances, as an instance knows it that starts now.
    pub fn new(configured: usize, now_ms: u64) -> HeardFleet {
        HeardFleet {
            configured: configured.max(1),
            started_ms: now_ms,
            heard: VecDeque::new(),
        }
    }

    /// Records how many instances are heard, this one included, and returns whether they are enough for this one
    /// to rank itself among them.
    pub fn may_rank(&mut self, now_ms: u64, heard: usize) -> bool {
        while self.heard.back().is_some_and(|last| last.1 <= heard) {
            self.heard.pop_back();
        }
        self.heard.push_back((now_ms, heard));
        while self
            .heard
            .front()
            .is_some_and(|(at_ms, _)| at_ms + MEMORY_MS < now_ms)
        {
            self.heard.pop_front();
        }
        let largest = self.heard.front().map_or(1, |(_, heard)| *heard);
        if self.configured == 1 && largest <= 1 {
            return true;
        }
        let is_young = now_ms < self.started_ms + MEMORY_MS;
        let known = if is_young {
            largest.max(self.configured)
        } else {
            largest
        };
        now_ms >= self.started_ms + SETTLE_MS && heard > 1 && heard * 2 >= known
    }
}
