//! What an endpoint takes now, as far as it is known.
//!
//! It addresses endpoints that name limits in their responses and endpoints that are cold for a while, under more
//! instances than each of them takes requests in a second.

use crate::cold_limit::ColdRate;
use crate::endpoint_rate::{EndpointRate, RateDivision};
use crate::refusal_allowance::{EndpointUse, RefusalAllowance};

/// Why an endpoint gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// It wants none for a while.
    Paused,
    /// This instance's part of its rate limit is used up.
    RateLimited,
    /// It would end by refusing more requests.
    Fragile,
    /// It is cold, and others send to it, or this instance did a moment ago.
    Cold,
}

/// The capacity of one run of one endpoint, for the requests of one instance.
///
/// A rate limit and a tolerance of refusals hold until the endpoint names others, a pause and a cold period for a
/// time.
#[derive(Debug, Default)]
pub struct EndpointCapacity {
    /// This instance's part of the endpoint's rate limit, if it has one.
    rate: Option<EndpointRate>,
    /// The refusals that this instance may cause, if the endpoint ends by too many.
    refusals: Option<RefusalAllowance>,
    /// Until when the endpoint itself wants no requests from this instance.
    pause_until_ms: u64,
    /// When it last said so.
    pause_wanted_ms: u64,
    cold: ColdRate,
    is_cold: bool,
}

impl EndpointCapacity {
    /// Returns why a request may not be sent now, if it may not. `unanswered` is the number of this instance's
    /// requests there that got no answer yet.
    pub fn withheld(
        &mut self,
        place: impl FnOnce() -> EndpointUse,
        unanswered: u32,
        now_ms: u64,
    ) -> Option<Withheld> {
        if self.pause_left_ms(now_ms) > 0 {
            return Some(Withheld::Paused);
        }
        if self.rate.as_mut().is_some_and(|rate| !rate.is_open(now_ms)) {
            return Some(Withheld::RateLimited);
        }
        // Requests that a path held up would arrive together.
        if self.is_cold && (unanswered > 0 || !self.cold.is_open(now_ms)) {
            return Some(Withheld::Cold);
        }
        let refusals = self.refusals.as_mut()?;
        (!refusals.is_open(&place(), now_ms)).then_some(Withheld::Fragile)
    }

    /// Takes a request from what the endpoint takes.
    pub fn acquire(&mut self, now_ms: u64) {
        if let Some(rate) = self.rate.as_mut() {
            rate.try_acquire(now_ms);
        }
        if self.is_cold {
            self.cold.try_acquire(now_ms);
        }
    }

    /// Sets how the endpoint's rate limit is divided, and returns whether the limit changed.
    pub fn set_rate_division(&mut self, division: Option<RateDivision>, now_ms: u64) -> bool {
        let limit = |division: RateDivision| division.limit_per_s;
        let before = self.rate_division().map(limit);
        match (division, self.rate.as_mut()) {
            (Some(division), Some(rate)) => rate.set_division(division, now_ms),
            (Some(division), None) => self.rate = Some(EndpointRate::new(division, now_ms)),
            (None, _) => self.rate = None,
        }
        before != division.map(limit)
    }

    /// Returns how the endpoint's rate limit is divided, if it has one.
    pub fn rate_division(&self) -> Option<RateDivision> {
        self.rate.as_ref().map(EndpointRate::division)
    }

    /// Sets how many requests the endpoint can refuse in a second without ending, and returns whether
    /// this is news.
    pub fn set_refusal_limit(&mut self, limit_per_s: Option<u32>) -> bool {
        let before = self.refusals.as_ref().map(RefusalAllowance::limit_per_s);
        match (limit_per_s, self.refusals.as_mut()) {
            (Some(limit_per_s), Some(refusals)) => refusals.set_limit(limit_per_s),
            (Some(limit_per_s), None) => self.refusals = Some(RefusalAllowance::new(limit_per_s)),
            (None, _) => self.refusals = None,
        }
        before != limit_per_s
    }

    /// Records that the endpoint refused a request of this instance.
    pub fn record_refusal(&mut self, now_ms: u64) {
        if let Some(refusals) = self.refusals.as_mut() {
            refusals.record_refusal(now_ms);
        }
    }

    /// Records that the endpoint wants no requests until a time, in milliseconds.
    pub fn record_pause(&mut self, until_ms: u64, now_ms: u64) {
        self.pause_until_ms = self.pause_until_ms.max(until_ms);
        self.pause_wanted_ms = now_ms;
    }

    /// Takes over the pause of an earlier run under the same identifier, if it was wanted at or after a time, in
    /// milliseconds.
    pub fn take_over_pause(&mut self, earlier: &EndpointCapacity, since_ms: u64) {
        if earlier.pause_wanted_ms >= since_ms {
            self.pause_until_ms = earlier.pause_until_ms;
            self.pause_wanted_ms = earlier.pause_wanted_ms;
        }
    }

    /// Returns how much longer the endpoint wants no requests, in milliseconds, or zero.
    pub fn pause_left_ms(&self, now_ms: u64) -> u64 {
        self.pause_until_ms.saturating_sub(now_ms)
    }

    /// Sets the shortest time between two requests of this instance while the endpoint is cold, or that it sends
    /// none.
    pub fn set_cold_interval(&mut self, interval_ms: Option<u64>, now_ms: u64) {
        self.cold.set_interval(interval_ms, now_ms);
    }

    /// Returns the shortest time between two requests of this instance while the endpoint is cold, or `None` if it
    /// sends none.
    pub fn cold_interval_ms(&self) -> Option<u64> {
        self.cold.interval_ms()
    }

    /// Sets whether the endpoint is cold, and returns whether this is news.
    pub fn set_cold(&mut self, is_cold: bool, now_ms: u64) -> bool {
        let is_news = self.is_cold != is_cold;
        if is_cold && is_news {
            self.cold.begin(now_ms);
        }
        self.is_cold = is_cold;
        is_news
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self) -> bool {
        self.is_cold
    }
}
