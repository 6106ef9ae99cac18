//! Clock of tests.

use std::sync::atomic::{AtomicU64, Ordering};

use kernel::{Clock, SystemClock};

/// The system's clock, moved forward.
#[derive(Debug, Default)]
pub struct AgedClock {
    clock: SystemClock,
    age_ms: AtomicU64,
}

impl AgedClock {
    pub fn age_by(&self, age_ms: u64) {
        self.age_ms.fetch_add(age_ms, Ordering::Relaxed);
    }
}

impl Clock for AgedClock {
    fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    fn mono_ms(&self) -> u64 {
        self.clock.mono_ms() + self.age_ms.load(Ordering::Relaxed)
    }
}
