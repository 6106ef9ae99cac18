//! How long endpoints are kept whose entries may have expired in an outage of the store.

use std::cell::Cell;

/// The shortest time for which an endpoint is kept, in milliseconds. Kept endpoints are checked at
/// least this often, so that none is removed late.
pub(crate) const MIN_KEPT_MS: u64 = 150;

/// Tells removals that may be expiries in an outage of the store from others.
///
/// The store may have been back since the last call that got no response, and a removal since then is
/// not an expiry. The grace period therefore counts from that call, so that it ends in time also for
/// an endpoint that left in the pause before the next call.
///
/// # Examples
///
/// ```
/// use control::ExpiryGrace;
///
/// let grace = ExpiryGrace::new(1_900);
/// grace.record_unanswered(1_000);
/// assert_eq!(grace.kept_until_ms(2_400), Some(2_900));
/// assert_eq!(grace.kept_until_ms(2_900), None);
/// ```
#[derive(Debug)]
pub struct ExpiryGrace {
    grace_ms: u64,
    unanswered_ms: Cell<Option<u64>>,
}

impl ExpiryGrace {
    /// Creates a grace period of this length.
    pub fn new(grace_ms: u64) -> ExpiryGrace {
        ExpiryGrace {
            grace_ms,
            unanswered_ms: Cell::new(None),
        }
    }

    /// Records that a call in an outage, begun at a time in milliseconds, got no response.
    pub fn record_unanswered(&self, began_ms: u64) {
        let unanswered_ms = self.unanswered_ms.get().max(Some(began_ms));
        self.unanswered_ms.set(unanswered_ms);
    }

    /// Returns until when an endpoint is kept whose removal is received now, in milliseconds, or
    /// `None` if it is not kept.
    pub fn kept_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.unanswered_ms.get()? + self.grace_ms;
        (now_ms + MIN_KEPT_MS <= until_ms).then_some(until_ms)
    }
}
