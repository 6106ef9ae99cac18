//! One instance's part of the requests that an endpoint can refuse without ending.
//!
//! It answers an endpoint that says that it ends if it has to refuse more than some requests in a second.
//! No instance asks another: all divide the slots and the refusals alike.

use std::collections::VecDeque;

const SECOND_MS: u64 = 1_000;

/// The share of the slots up to which any instance may send, whatever its part. The loads that it knows
/// of the others are a report old, in which the rest may fill.
const OPEN_SHARE: f64 = 0.5;

/// The place of this instance among those that send to an endpoint, and the load there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointUse {
    /// Number of instances that rank before this one for the endpoint.
    pub rank: usize,
    /// Number of instances.
    pub instances: usize,
    /// Requests of this instance at the endpoint.
    pub own_requests: u32,
    /// Load by all instances, in requests of average size.
    pub load: f64,
    /// Requests that the endpoint runs at a time.
    pub slots: u32,
}

impl EndpointUse {
    /// Returns whether the next request takes one of the slots that are this instance's alone.
    fn is_in_part(&self) -> bool {
        let part = part(self.slots as usize, self.rank, self.instances);
        (self.own_requests as usize) < part
    }

    /// Returns whether so many slots are free that any instance may take one.
    fn is_wide_open(&self) -> bool {
        self.load + 1.0 <= f64::from(self.slots) * OPEN_SHARE
    }
}

/// Meters the requests of one instance that a fragile endpoint refuses.
///
/// # Examples
///
/// ```
/// use limits::{EndpointUse, RefusalAllowance};
///
/// let place = EndpointUse { rank: 0, instances: 2, own_requests: 0, load: 0.0, slots: 8 };
/// let mut allowance = RefusalAllowance::new(2);
/// assert!(allowance.is_open(&place, 0));
/// allowance.record_refusal(0);
/// assert!(allowance.is_open(&place, 500));
/// allowance.record_refusal(500);
/// assert!(!allowance.is_open(&place, 600));
/// assert!(allowance.is_open(&place, 1_000));
/// ```
#[derive(Debug)]
pub struct RefusalAllowance {
    limit_per_s: u32,
    refusals_ms: VecDeque<u64>,
}

/// Returns the part of a total that an instance with this rank has for itself.
fn part(total: usize, rank: usize, instances: usize) -> usize {
    let instances = instances.max(1);
    total / instances + usize::from(rank < total % instances)
}

impl RefusalAllowance {
    /// Creates an allowance of refusals in a second by the endpoint, over all instances.
    pub fn new(limit_per_s: u32) -> RefusalAllowance {
        RefusalAllowance {
            limit_per_s,
            refusals_ms: VecDeque::new(),
        }
    }

    /// Returns the refusals in a second that the endpoint allows all instances together.
    pub fn limit_per_s(&self) -> u32 {
        self.limit_per_s
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit_per_s: u32) {
        self.limit_per_s = limit_per_s;
    }

    /// Records that the endpoint refused a request of this instance.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.expire(now_ms);
        self.refusals_ms.push_back(now_ms);
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&mut self, place: &EndpointUse, now_ms: u64) -> bool {
        self.expire(now_ms);
        let allowed = part(self.limit_per_s as usize, place.rank, place.instances);
        match self.refusals_ms.len() {
            0 => place.is_in_part() || place.is_wide_open(),
            // The other instances took more than their parts.
            refused if refused <= allowed => place.is_in_part(),
            _ => false,
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some(refused_ms) = self.refusals_ms.front()
            && now_ms >= refused_ms + SECOND_MS
        {
            self.refusals_ms.pop_front();
        }
    }
}
