//! One instance's part of the rate that an endpoint takes from all instances together.
//!
//! It answers an endpoint that names a few requests per second while many instances have requests
//! for it. No instance asks another: all divide the rate alike, by their ranks for the endpoint.

use crate::token_bucket::TokenBucket;

/// Instances that share a rate, beyond one for each request per second. Each may begin with one
/// request, so that more of them would exceed a low rate at once.
const EXTRA_SHARERS: usize = 3;

/// The lowest rate, in requests per second: an endpoint that takes none is still asked now and
/// then, as only its responses say that a limit has ended.
const MIN_RATE_PER_S: f64 = 0.2;

/// Requests that an instance may send at once, as a time at its share of the rate. A share of under
/// one request in this time may still send one.
const BURST_S: f64 = 0.5;

/// The limit of an endpoint, and the place of this instance among those that know it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateDivision {
    /// Requests per second that the endpoint takes from all instances together.
    pub limit_per_s: f64,
    /// Number of instances that rank before this one for the endpoint.
    pub rank: usize,
    /// Number of instances.
    pub instances: usize,
}

impl RateDivision {
    /// Returns the rate at which this instance may send, in requests per second; 0 if others share
    /// the whole limit.
    pub fn share_per_s(&self) -> f64 {
        let limit_per_s = self.limit_per_s.max(MIN_RATE_PER_S);
        let sharers = (limit_per_s as usize).saturating_add(EXTRA_SHARERS);
        let sharers = sharers.min(self.instances).max(1);
        if self.rank >= sharers {
            return 0.0;
        }
        limit_per_s / sharers as f64
    }
}

/// Meters the requests of one instance to an endpoint that has a rate limit.
///
/// # Examples
///
/// ```
/// use limits::{EndpointRate, RateDivision};
///
/// let division = RateDivision { limit_per_s: 2.0, rank: 0, instances: 2 };
/// let mut rate = EndpointRate::new(division, 0);
/// assert!(rate.try_acquire(0));
/// assert!(!rate.try_acquire(900));
/// assert!(rate.try_acquire(1_000));
/// ```
#[derive(Debug)]
pub struct EndpointRate {
    division: RateDivision,
    bucket: TokenBucket,
}

impl EndpointRate {
    /// Creates a meter that permits one request at once if the instance has a share.
    pub fn new(division: RateDivision, now_ms: u64) -> EndpointRate {
        EndpointRate {
            division,
            bucket: TokenBucket::new(division.share_per_s(), BURST_S, now_ms),
        }
    }

    /// Changes the limit or the instances that share it.
    pub fn set_division(&mut self, division: RateDivision, now_ms: u64) {
        self.division = division;
        self.bucket.set_rate(division.share_per_s(), now_ms);
    }

    /// Returns the limit and this instance's place.
    pub fn division(&self) -> RateDivision {
        self.division
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&mut self, now_ms: u64) -> bool {
        self.bucket.wait_ms(now_ms) == 0
    }

    /// Takes one request from the rate, and returns whether it may be sent now.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        self.bucket.try_acquire(now_ms).is_ok()
    }
}
