//! Wall-clock and monotonic time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A source of time, which tests replace.
pub trait Clock: Send + Sync {
    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64;

    /// Returns the monotonic time in milliseconds since an arbitrary start.
    fn mono_ms(&self) -> u64;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn new() -> SystemClock {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |elapsed| elapsed.as_millis() as u64)
    }

    fn mono_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// A clock for tests that starts at zero and moves only by [`ManualClock::advance_ms`].
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Advances both times by `step_ms`.
    pub fn advance_ms(&self, step_ms: u64) {
        self.now_ms.fetch_add(step_ms, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn wall_ms(&self) -> u64 {
        self.now_ms.load(Ordering::Relaxed)
    }

    fn mono_ms(&self) -> u64 {
        self.now_ms.load(Ordering::Relaxed)
    }
}
