//! The number of instances among which a limit is divided.

use std::collections::VecDeque;

/// How long an instance that is no longer seen keeps its part, in milliseconds. It may still run
/// behind a network partition, and instances on both sides must not take its part as well.
const MEMORY_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Sighting {
    at_ms: u64,
    size: usize,
}

/// What an instance knows of its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// The number of instances among which a limit is divided.
    pub instances: usize,
    /// Whether that number comes from a fleet that was seen.
    pub is_known: bool,
}

impl Fleet {
    /// Returns a fleet of this size.
    pub fn known(instances: usize) -> Fleet {
        Fleet {
            instances,
            is_known: true,
        }
    }
}

/// The largest size of the fleet in the last two minutes.
///
/// # Examples
///
/// ```
/// use limits::{Fleet, FleetSize};
///
/// let mut fleet_size = FleetSize::new(1);
/// assert_eq!(fleet_size.record(0, 6), Fleet::known(6));
/// assert_eq!(fleet_size.record(60_000, 2), Fleet::known(6));
/// assert_eq!(fleet_size.record(150_000, 2), Fleet::known(2));
/// ```
#[derive(Debug)]
pub struct FleetSize {
    configured: usize,
    has_seen_others: bool,
    /// Decreasing sizes.
    sightings: VecDeque<Sighting>,
}

impl FleetSize {
    /// Creates a fleet whose settings name this many instances, which need not all be running.
    pub fn new(configured: usize) -> FleetSize {
        FleetSize {
            configured: configured.max(1),
            has_seen_others: false,
            sightings: VecDeque::new(),
        }
    }

    /// Records how many instances are seen, this one included, and returns the fleet to count with.
    ///
    /// The fleet is not known while only this one of several configured instances was ever seen.
    pub fn record(&mut self, now_ms: u64, seen: usize) -> Fleet {
        self.has_seen_others |= seen > 1;
        while self.sightings.back().is_some_and(|last| last.size <= seen) {
            self.sightings.pop_back();
        }
        self.sightings.push_back(Sighting {
            at_ms: now_ms,
            size: seen,
        });
        let is_old = |sighting: &Sighting| sighting.at_ms + MEMORY_MS < now_ms;
        while self.sightings.front().is_some_and(is_old) {
            self.sightings.pop_front();
        }
        let largest = self.sightings.front().map_or(1, |sighting| sighting.size);
        Fleet {
            instances: largest.max(self.configured),
            is_known: self.has_seen_others || self.configured == 1,
        }
    }
}
