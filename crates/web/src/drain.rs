//! The state of a graceful shutdown.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// State of a graceful shutdown: whether connections close after their response, whether the server
/// is stopped, and the number of open requests.
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

    /// Returns whether the server is stopped, so that idle connections close.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose response is not completely written yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    pub(crate) fn request_started(&self) {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn request_ended(&self) {
        self.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
