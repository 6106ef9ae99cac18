//! Wall and monotonic time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64;

    /// Returns milliseconds since an arbitrary start, never going back.
    fn mono_ms(&self) -> u64;
}

/// The machine's clock.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts the monotonic clock at zero.
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

/// A clock that tests move by hand.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
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
