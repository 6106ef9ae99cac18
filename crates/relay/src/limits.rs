//! Limits on callers' messages and connections, and the state of a graceful shutdown.

use std::cell::Cell;
use std::time::Duration;

/// Limits on a caller's messages and connections. A new configuration may change them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time to receive a request, head and body, in milliseconds.
    pub receive_timeout_ms: u64,
    /// Time that a connection may stay idle between requests, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time that a write may block because the caller does not read, in milliseconds.
    pub write_timeout_ms: u64,
}

impl Default for Limits {
    // Typical for HTTP servers; used until a configuration is loaded.
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            receive_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
            write_timeout_ms: 10_000,
        }
    }
}

impl Limits {
    pub(crate) fn receive_timeout(&self) -> Duration {
        Duration::from_millis(self.receive_timeout_ms)
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}

/// State of a graceful shutdown: whether connections are closing, and the number of open requests.
#[derive(Debug, Default)]
pub struct DrainState {
    closing: Cell<bool>,
    open_requests: Cell<usize>,
}

impl DrainState {
    /// Makes every further response close its connection.
    pub fn close_after_response(&self) {
        self.closing.set(true);
    }

    /// Returns whether responses close their connections.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns the number of requests whose response is not sent yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(&self) -> OpenRequestGuard<'_> {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequestGuard { drain: self }
    }
}

/// Keeps a request counted in [`DrainState::open_requests`].
pub(crate) struct OpenRequestGuard<'a> {
    drain: &'a DrainState,
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        let open = self.drain.open_requests.get();
        self.drain.open_requests.set(open.saturating_sub(1));
    }
}
