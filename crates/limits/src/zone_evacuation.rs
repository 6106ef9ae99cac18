//! Share of the requests that an evacuated zone no longer receives.
//!
//! It addresses operators who take a zone out of use and put it back, while the endpoints of the other
//! zones may be cold: their load rises and falls in steps. Each instance decides by itself from the time
//! at which it learned of the order. No instance asks another.

/// Number of steps in which traffic leaves a zone and returns. With a tenth in each, an endpoint of the
/// other two of three zones gets 5% more at a step.
const STEPS: u64 = 10;

/// Part of the time allowed for an evacuation in which traffic moves. The rest is for the time until
/// an instance learns of the order.
const MOVING_PART: u64 = 2;

/// The evacuation of one zone, as one instance knows it.
///
/// # Examples
///
/// ```
/// use limits::ZoneEvacuation;
///
/// let mut evacuation = ZoneEvacuation::begin(5_000, 0);
/// assert_eq!(evacuation.share(0), 0.1);
/// assert_eq!(evacuation.share(2_500), 1.0);
/// evacuation.revoke(10_000);
/// assert_eq!(evacuation.share(10_000), 0.9);
/// assert!(evacuation.is_over(12_500));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneEvacuation {
    is_ordered: bool,
    /// When this instance learned of the order or its end.
    changed_ms: u64,
    /// Steps that traffic had moved then.
    moved_before: u64,
    step_ms: u64,
}

impl ZoneEvacuation {
    /// Begins to evacuate a zone, which may take `allowed_ms` from the order on.
    pub fn begin(allowed_ms: u64, now_ms: u64) -> ZoneEvacuation {
        ZoneEvacuation {
            is_ordered: true,
            changed_ms: now_ms,
            moved_before: 0,
            step_ms: allowed_ms / MOVING_PART / STEPS,
        }
    }

    /// Evacuates a zone at once, as an instance does that has just started and cannot tell how long ago
    /// the order was given.
    pub fn complete(allowed_ms: u64, now_ms: u64) -> ZoneEvacuation {
        ZoneEvacuation {
            moved_before: STEPS,
            ..ZoneEvacuation::begin(allowed_ms, now_ms)
        }
    }

    /// Records that the zone is to be evacuated again. Traffic leaves from the share reached by now.
    pub fn order(&mut self, now_ms: u64) {
        self.change(true, now_ms);
    }

    /// Records that the order was revoked. Traffic returns from the share reached by now.
    pub fn revoke(&mut self, now_ms: u64) {
        self.change(false, now_ms);
    }

    fn change(&mut self, is_ordered: bool, now_ms: u64) {
        if self.is_ordered == is_ordered {
            return;
        }
        self.moved_before = self.moved(now_ms);
        self.is_ordered = is_ordered;
        self.changed_ms = now_ms;
    }

    /// Returns whether the zone is to be evacuated.
    pub fn is_ordered(&self) -> bool {
        self.is_ordered
    }

    /// Returns whether the order was revoked and all traffic may have returned.
    pub fn is_over(&self, now_ms: u64) -> bool {
        !self.is_ordered && self.moved(now_ms) == 0
    }

    /// Returns whether no request may be sent to the zone.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        self.moved(now_ms) == STEPS
    }

    /// Returns the share of the requests that are not sent to the zone.
    pub fn share(&self, now_ms: u64) -> f64 {
        self.moved(now_ms) as f64 / STEPS as f64
    }

    fn moved(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.changed_ms);
        // The first step is taken at once.
        let steps = elapsed_ms.checked_div(self.step_ms).unwrap_or(STEPS) + 1;
        if self.is_ordered {
            (self.moved_before + steps).min(STEPS)
        } else {
            self.moved_before.saturating_sub(steps)
        }
    }
}
