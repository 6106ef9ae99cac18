//! Bounds on what callers may take, which a new configuration may change.

use std::cell::Cell;
use std::time::Duration;

/// Bounds on a caller's messages and connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// The largest body, in bytes.
    pub max_body_bytes: u64,
    /// How long a request may take to arrive, in milliseconds.
    pub receive_timeout_ms: u64,
    /// How long a connection may wait for its next request, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How long a caller may take to read, in milliseconds.
    pub write_timeout_ms: u64,
}

impl Default for Limits {
    // Usual values of HTTP servers, in force until a configuration is.
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
    pub(crate) fn arrival(&self) -> Duration {
        Duration::from_millis(self.receive_timeout_ms)
    }

    pub(crate) fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    pub(crate) fn write(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}

/// How far a graceful shutdown has come, and how many requests are open.
#[derive(Debug, Default)]
pub struct DrainState {
    closing: Cell<bool>,
    open_requests: Cell<usize>,
}

impl DrainState {
    /// Makes every further answer close its connection.
    pub fn close_after_response(&self) {
        self.closing.set(true);
    }

    /// Returns whether answers close their connections.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns how many requests are being answered.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(&self) -> Entered<'_> {
        self.open_requests.set(self.open_requests.get() + 1);
        Entered { drain: self }
    }
}

/// A request that is being answered.
pub(crate) struct Entered<'a> {
    drain: &'a DrainState,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let open = self.drain.open_requests.get();
        self.drain.open_requests.set(open.saturating_sub(1));
    }
}
