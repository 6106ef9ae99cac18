//! What short calls show of whether the store answers this instance.

use std::cell::{Cell, RefCell};

/// What the latest calls show. Times are those at which the calls began, as their ends are not in
/// order.
#[derive(Debug, Default)]
pub(crate) struct StoreLiveness {
    answered_ms: Cell<Option<u64>>,
    failed_ms: Cell<Option<u64>>,
    /// Of the calls that have not ended.
    waiting_ms: RefCell<Vec<u64>>,
}

impl StoreLiveness {
    /// Records the start of a call.
    pub(crate) fn begin(&self, began_ms: u64) {
        self.waiting_ms.borrow_mut().push(began_ms);
    }

    /// Records the end of a call that began at a time in milliseconds.
    pub(crate) fn record(&self, began_ms: u64, answered: bool) {
        self.waiting_ms
            .borrow_mut()
            .retain(|waiting_ms| *waiting_ms != began_ms);
        let latest = if answered {
            &self.answered_ms
        } else {
            &self.failed_ms
        };
        latest.set(latest.get().max(Some(began_ms)));
    }

    /// Returns when the latest call began that began before a time in milliseconds and has not ended.
    pub(crate) fn latest_waiting_before(&self, before_ms: u64) -> Option<u64> {
        let waiting_ms = self.waiting_ms.borrow();
        let earlier = waiting_ms.iter().filter(|began_ms| **began_ms < before_ms);
        earlier.max().copied()
    }

    /// Returns whether the latest call that has ended got no response.
    pub(crate) fn is_silent(&self) -> bool {
        self.failed_ms.get() > self.answered_ms.get()
    }
}
