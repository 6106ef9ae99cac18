//! Samples of the speeds of endpoints, shared with the thread that exchanges them with other instances.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use limits::{EndpointPace, PaceSums};

/// Weight below which samples are neither reported nor kept.
const MIN_WEIGHT: f64 = 0.1;

/// The samples of one endpoint.
#[derive(Debug, Default)]
struct KnownPace {
    /// Those of this instance.
    own: EndpointPace,
    /// Those of all instances, this one included.
    fleet: EndpointPace,
}

/// The samples of all endpoints, by the hashes of their runs.
#[derive(Debug, Default)]
pub struct SharedPaces {
    by_endpoint: Mutex<HashMap<u64, KnownPace>>,
    samples: AtomicU64,
    learned: AtomicU64,
}

impl SharedPaces {
    /// Records a sample of this instance: how long an endpoint took relative to what is usual.
    pub fn record(&self, endpoint: u64, time_ratio: f64, weight: f64, now_ms: u64) {
        self.samples.fetch_add(1, Ordering::Relaxed);
        let mut known = self.lock();
        let pace = known.entry(endpoint).or_default();
        pace.own.record(time_ratio, weight, now_ms);
        pace.fleet.record(time_ratio, weight, now_ms);
    }

    /// Returns the sums of this instance's samples by endpoint.
    pub fn own(&self, now_ms: u64) -> HashMap<u64, PaceSums> {
        let mut sums = HashMap::new();
        for (endpoint, pace) in self.lock().iter() {
            let own = pace.own.sums(now_ms);
            if own.weight >= MIN_WEIGHT {
                sums.insert(*endpoint, own);
            }
        }
        sums
    }

    /// Replaces what the other instances report by the sums of their samples.
    pub fn set_peers(&self, peers: &HashMap<u64, PaceSums>, now_ms: u64) {
        let mut known = self.lock();
        for endpoint in peers.keys() {
            known.entry(*endpoint).or_default();
        }
        known.retain(|endpoint, pace| {
            let mut sums = pace.own.sums(now_ms);
            if let Some(of_peers) = peers.get(endpoint) {
                sums.add(of_peers);
            }
            pace.fleet.replace(sums, now_ms);
            sums.weight >= MIN_WEIGHT
        });
    }

    /// Returns the sums of all instances' samples of an endpoint.
    pub fn of_all(&self, endpoint: u64, now_ms: u64) -> PaceSums {
        let known = self.lock();
        let pace = known.get(&endpoint);
        pace.map(|pace| pace.fleet.sums(now_ms)).unwrap_or_default()
    }

    /// Returns the number of samples of this instance so far.
    pub fn samples(&self) -> u64 {
        self.samples.load(Ordering::Relaxed)
    }

    /// Returns the number of endpoints that are known to differ in speed from others of their version.
    pub fn learned(&self) -> u64 {
        self.learned.load(Ordering::Relaxed)
    }

    pub(crate) fn set_learned(&self, endpoints: u64) {
        self.learned.store(endpoints, Ordering::Relaxed);
    }

    /// Returns the samples that all instances have of endpoints.
    pub(crate) fn of_fleet(&self, endpoints: &[u64]) -> Vec<EndpointPace> {
        let known = self.lock();
        let pace = |endpoint| known.get(endpoint).map(|pace| pace.fleet);
        let paces = endpoints.iter().map(pace);
        paces.map(Option::unwrap_or_default).collect()
    }

    pub(crate) fn remove(&self, endpoint: u64) {
        self.lock().remove(&endpoint);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, KnownPace>> {
        self.by_endpoint
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
