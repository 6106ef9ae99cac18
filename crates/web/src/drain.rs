//! The state of a graceful shutdown.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Counts open requests and tells connections to close after their answer.
#[derive(Debug, Default)]
pub struct DrainState {
    closing: AtomicBool,
    stopped: AtomicBool,
    open_requests: AtomicUsize,
}

impl DrainState {
    /// Makes every further response close its connection.
    pub fn close_after_response(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether responses close their connections.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Stops accepting connections and closes idle ones.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether idle connections are closed.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns how many requests are being answered.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    pub(crate) fn enter(&self) {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn leave(&self) {
        self.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
