//! The calls of this instance in flight at an endpoint.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// How far the answer to a call has come.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    began: Cell<Option<Began>>,
    /// When its last bytes arrived, in milliseconds.
    received_ms: Cell<u64>,
}

/// When the head of an answer arrived, on both clocks.
#[derive(Debug, Clone, Copy)]
struct Began {
    at: Instant,
    ms: u64,
}

impl CallProgress {
    /// Records that the head of the answer arrived.
    pub(crate) fn record_head(&self, now_ms: u64) {
        self.began.set(Some(Began {
            at: Instant::now(),
            ms: now_ms,
        }));
        self.received_ms.set(now_ms);
    }

    pub(crate) fn record_received(&self, now_ms: u64) {
        self.received_ms.set(now_ms);
    }

    /// Returns when the head of the answer arrived, in milliseconds.
    pub(crate) fn began_ms(&self) -> Option<u64> {
        self.began.get().map(|began| began.ms)
    }

    fn began_before(&self, time: Instant) -> bool {
        self.began.get().is_some_and(|began| began.at < time)
    }
}

/// The calls in flight at an endpoint.
#[derive(Debug, Default)]
pub(crate) struct CallsInFlight {
    calls: RefCell<Vec<Rc<CallProgress>>>,
}

impl CallsInFlight {
    pub(crate) fn count(&self) -> u32 {
        self.calls.borrow().len() as u32
    }

    /// Returns the number of calls whose answers have not begun.
    pub(crate) fn unanswered(&self) -> u32 {
        let calls = self.calls.borrow();
        calls
            .iter()
            .filter(|call| call.began.get().is_none())
            .count() as u32
    }

    /// Adds a call, and returns its progress.
    pub(crate) fn add(&self) -> Rc<CallProgress> {
        let progress = Rc::new(CallProgress::default());
        self.calls.borrow_mut().push(progress.clone());
        progress
    }

    pub(crate) fn remove(&self, progress: &Rc<CallProgress>) {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|call| !Rc::ptr_eq(call, progress));
    }

    /// Returns the number of calls whose answers had begun by a time, so that the run sends them that was
    /// there then.
    pub(crate) fn begun_before(&self, time: Instant) -> u32 {
        let calls = self.calls.borrow();
        calls.iter().filter(|call| call.began_before(time)).count() as u32
    }

    /// Returns when the first of such calls began of which bytes arrived at a later time, in milliseconds, or
    /// after it.
    pub(crate) fn received_since(&self, time: Instant, later_ms: u64) -> Option<Instant> {
        let calls = self.calls.borrow();
        let begun = calls.iter().filter(|call| call.began_before(time));
        let received = begun.filter(|call| call.received_ms.get() >= later_ms);
        received
            .filter_map(|call| call.began.get())
            .map(|began| began.at)
            .min()
    }
}
