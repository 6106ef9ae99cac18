//! When an endpoint is cold, as far as its entry, its reach and the reports of peers tell.
//!
//! It addresses endpoints that end and come back within seconds, also under the same identifier and address:
//! their entry tells of it some hundred milliseconds late, and requests until then must not count on warmth.

/// How old the start of a run must be, beyond the time for which it is cold, to tell an instance that starts that
/// the run is warm. The clocks of machines differ, and may be set by some seconds.
const CLOCK_MARGIN_MS: u64 = 10_000;

/// The longest cold period that is believed, in milliseconds.
pub const MAX_COLD_MS: u64 = 60_000;

/// How much later the end that a report gives must be to replace another, in milliseconds. A report seems later than
/// it is by the time that it took to arrive.
const MAX_TRANSIT_MS: u64 = 100;

/// How long an endpoint still counts as cold beyond the end of a period that it did not confirm, in milliseconds: a
/// health check that begins at the end, its answer, and the reports of it that cross a large fleet take about 350 ms.
pub const COLD_GRACE_MS: u64 = 450;

/// Instances that pass a report on in a large fleet.
const MAX_HOPS: u32 = 2;

/// The entry of an endpoint when an instance first sees its run, or sees it changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdSight {
    /// For how long the entry says that the endpoint stays cold, in milliseconds, if it does.
    pub left_ms: Option<u64>,
    /// Whether the run is new to the instance.
    pub is_new_run: bool,
    /// Time since the run started by the clocks of both machines, in milliseconds, if it is known.
    pub run_age_ms: Option<u64>,
    /// Time since the instance started, in milliseconds.
    pub instance_age_ms: u64,
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
}

impl ColdSight {
    /// Returns how long the endpoint counts as cold from now, in milliseconds.
    pub fn cold_ms(&self) -> u64 {
        let is_fresh = self.instance_age_ms < self.start_ms;
        let said_ms = self.left_ms.unwrap_or_default().min(MAX_COLD_MS);
        if !self.is_new_run {
            return said_ms;
        }
        if !is_fresh {
            return self.left_ms.map_or(self.start_ms, |_| said_ms);
        }
        let is_old = self
            .run_age_ms
            .is_some_and(|age_ms| age_ms >= self.start_ms + CLOCK_MARGIN_MS);
        // Its entry tells of a cold period that began later. An instance that waited for its peers' reports
        // would refuse all requests meanwhile.
        let least_ms = if is_old { 0 } else { self.start_ms };
        said_ms.max(least_ms)
    }
}

/// What an instance knows of the time for which an endpoint is cold.
///
/// # Examples
///
/// ```
/// use limits::ColdPeriod;
///
/// let mut period = ColdPeriod::default();
/// period.observe(3_000, true, 0);
/// assert!(period.is_cold(2_999));
/// assert!(!period.is_cold(3_000));
/// assert_eq!(period.to_report(1_000), Some((2_000, 0)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdPeriod {
    until_ms: u64,
    /// The end that others are told.
    told_until_ms: u64,
    /// Instances that passed that on.
    hops: u32,
    observed_ms: u64,
    /// Whether the endpoint itself said that it is cold no longer.
    is_confirmed: bool,
    /// The end at which the endpoint was asked last.
    asked_until_ms: u64,
}

impl ColdPeriod {
    /// Records that the endpoint is cold for a time from now, and whether others are to be told.
    pub fn observe(&mut self, left_ms: u64, is_told: bool, now_ms: u64) {
        let until_ms = now_ms + left_ms.min(MAX_COLD_MS);
        self.observed_ms = now_ms;
        self.extend(until_ms);
        if is_told && until_ms > self.told_until_ms {
            self.told_until_ms = until_ms;
            self.hops = 0;
        }
    }

    /// Records what a peer reports, which that heard over some others, and returns whether it is news.
    pub fn merge(&mut self, left_ms: u64, hops: u32, now_ms: u64) -> bool {
        let until_ms = now_ms + left_ms.min(MAX_COLD_MS);
        if until_ms <= self.told_until_ms + MAX_TRANSIT_MS {
            return false;
        }
        self.told_until_ms = until_ms;
        self.hops = hops.saturating_add(1);
        // An answer that was asked for before may be that of an earlier run.
        self.observed_ms = now_ms;
        self.extend(until_ms);
        true
    }

    fn extend(&mut self, until_ms: u64) {
        if until_ms > self.until_ms {
            self.until_ms = until_ms;
            self.is_confirmed = false;
        }
    }

    /// Records how long the endpoint itself says that it stays cold, when it was asked at a time. An answer to an
    /// earlier question than the last observation may be that of an earlier run.
    pub fn record_answer(&mut self, left_ms: u64, asked_ms: u64, now_ms: u64) {
        if left_ms == 0 && asked_ms > self.observed_ms {
            self.until_ms = self.until_ms.min(now_ms);
            self.told_until_ms = self.told_until_ms.min(now_ms);
            self.is_confirmed = true;
        } else if left_ms > 0 {
            self.observe(left_ms, true, now_ms);
        }
    }

    /// Returns whether the endpoint counts as cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether the period has ended, and the endpoint has not confirmed this yet but has time to.
    pub fn awaits_confirmation(&self, now_ms: u64) -> bool {
        let is_over = self.until_ms > 0 && now_ms >= self.until_ms;
        is_over && !self.is_confirmed && now_ms < self.until_ms + COLD_GRACE_MS
    }

    /// Returns whether the endpoint is to be asked now whether it is cold no longer, which it is once for each end.
    pub fn try_ask(&mut self, now_ms: u64) -> bool {
        let may_ask = self.awaits_confirmation(now_ms) && self.asked_until_ms != self.until_ms;
        if may_ask {
            self.asked_until_ms = self.until_ms;
        }
        may_ask
    }

    /// Returns for how long the endpoint counts as cold, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Returns for how long it is cold, in milliseconds, and the instances that passed this on, if others are to be
    /// told.
    pub fn to_report(&self, now_ms: u64) -> Option<(u64, u32)> {
        let left_ms = self.told_until_ms.saturating_sub(now_ms);
        (left_ms > 0 && self.hops <= MAX_HOPS).then_some((left_ms, self.hops))
    }
}
