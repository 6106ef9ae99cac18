//! One instance's part of the requests that a cold endpoint takes from all instances together.
//!
//! It addresses a large fleet whose endpoints come back many at a time and end if they get more than a few
//! requests a second while they are cold. No instance asks another: a few, chosen by rank, send at fixed
//! intervals, and all others send none. The bound holds as long as at most two sets of instances that do not
//! know of each other send.

/// The part of a second whose requests determine the number of sending instances.
const SENDERS_PART: f64 = 1.0 / 3.0;

/// The part of the rate that is used. With two halves of a partitioned fleet it is 1.3 times the rate.
const USED_PART: f64 = 0.65;

/// Sets of sending instances that may not know of each other.
const UNAWARE_SETS: f64 = 2.0;

const MS_PER_S: f64 = 1_000.0;

/// Added to an interval, so that requests that are delayed on the path do not arrive closer together than one
/// second's number of them permits.
const PATH_MARGIN_MS: u64 = 10;

/// How long an instance that begins to send waits at least, in milliseconds. An instance that sent in its place
/// learns of the change in this time.
const TAKEOVER_MS: u64 = 1_000;

/// What cold endpoints of a service take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that a cold endpoint takes from all instances together.
    pub per_s: f64,
    /// Factor on that rate up to which it may get requests.
    pub overage: f64,
    /// Requests in a second that it may get beyond that.
    pub slack: f64,
}

/// How the requests to a cold endpoint are divided among the instances.
///
/// # Examples
///
/// ```
/// use limits::ColdLimit;
///
/// let limit = ColdLimit { per_s: 9.3, overage: 1.5, slack: 5.0 };
/// let division = limit.divide(75);
/// assert_eq!((division.senders, division.interval_ms), (3, 510));
/// assert_eq!(division.max_in_second(), 2);
/// assert_eq!(division.checkers, 6);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdDivision {
    /// Number of instances that send, the first ones by rank.
    pub senders: usize,
    /// Shortest time between two requests of one of them, in milliseconds.
    pub interval_ms: u64,
    /// Number of instances that ask it for its health at the end of its cold period, the first ones by rank. With the
    /// requests of the senders they are at most half of the bound.
    pub checkers: usize,
}

impl ColdLimit {
    /// Returns the most requests that a cold endpoint may get in any second.
    pub fn bound(&self) -> f64 {
        self.per_s * self.overage + self.slack
    }

    /// Divides the requests among a number of instances.
    pub fn divide(&self, instances: usize) -> ColdDivision {
        let half = self.bound() / UNAWARE_SETS;
        let senders = (self.per_s * SENDERS_PART).min(half) as usize;
        let senders = senders.min(instances).max(1);
        let share_per_s = (self.per_s * USED_PART).min(half) / senders as f64;
        let interval_ms = if share_per_s >= 1.0 {
            // Whole requests, as a rate of two and a bit lets three of them into some seconds.
            (MS_PER_S / share_per_s.floor()).ceil()
        } else {
            (MS_PER_S / share_per_s).ceil()
        };
        let mut division = ColdDivision {
            senders,
            interval_ms: (interval_ms as u64).saturating_add(PATH_MARGIN_MS),
            checkers: senders,
        };
        // Their checks take the place of a request of the senders, and are further ones of other instances.
        let rest = half - senders as f64 * division.max_in_second() as f64;
        division.checkers = (senders + rest.max(0.0) as usize)
            .min(instances)
            .max(senders);
        division
    }
}

impl ColdDivision {
    /// Returns the rate of all sending instances, in requests per second.
    pub fn total_per_s(&self) -> f64 {
        self.senders as f64 * MS_PER_S / self.interval_ms as f64
    }

    /// Returns the most requests that one instance sends in any second.
    pub fn max_in_second(&self) -> u64 {
        MS_PER_S as u64 / self.interval_ms + 1
    }
}

/// Meters the requests of one instance to an endpoint while it is cold.
///
/// # Examples
///
/// ```
/// use limits::ColdRate;
///
/// let mut rate = ColdRate::default();
/// assert!(!rate.is_open(0));
/// rate.set_interval(Some(500), 0);
/// assert!(!rate.is_open(999));
/// assert!(rate.try_acquire(1_000));
/// assert!(!rate.is_open(1_499));
/// assert!(rate.is_open(1_500));
/// ```
#[derive(Debug, Default)]
pub struct ColdRate {
    /// Shortest time between two requests, or `None` if others send.
    interval_ms: Option<u64>,
    next_ms: u64,
    sent_ms: u64,
}

impl ColdRate {
    /// Sets the shortest time between two requests, or that this instance sends none.
    pub fn set_interval(&mut self, interval_ms: Option<u64>, now_ms: u64) {
        let wait_until_ms = match (self.interval_ms, interval_ms) {
            (None, Some(after_ms)) => now_ms.saturating_add(after_ms.max(TAKEOVER_MS)),
            (Some(before_ms), Some(after_ms)) if before_ms != after_ms => {
                self.sent_ms.saturating_add(after_ms)
            }
            _ => 0,
        };
        self.next_ms = self.next_ms.max(wait_until_ms);
        self.interval_ms = interval_ms;
    }

    /// Returns the shortest time between two requests, or `None` if this instance sends none.
    pub fn interval_ms(&self) -> Option<u64> {
        self.interval_ms
    }

    /// Records that the endpoint became cold. The first request waits as long as any further one.
    pub fn begin(&mut self, now_ms: u64) {
        let interval_ms = self.interval_ms.unwrap_or_default();
        self.next_ms = self.next_ms.max(now_ms.saturating_add(interval_ms));
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.interval_ms.is_some() && now_ms >= self.next_ms
    }

    /// Takes a request, and returns whether it may be sent now.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        let Some(interval_ms) = self.interval_ms.filter(|_| now_ms >= self.next_ms) else {
            return false;
        };
        self.sent_ms = now_ms;
        self.next_ms = now_ms.saturating_add(interval_ms);
        true
    }
}
