//! Loads of endpoints, shared with the thread that exchanges them with other instances.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64;

use crate::shared_cold::SharedCold;
use crate::shared_crashes::SharedCrashes;
use crate::shared_limit::SharedLimits;
use crate::shared_pace::SharedPaces;

/// Largest number of instances that report their loads to all others. Those that the instances of a
/// larger fleet know are older.
pub const MAX_DIRECT_INSTANCES: usize = 16;

/// Loads are stored in tenths of the load of an average request.
const UNITS_PER_LOAD: f64 = 10.0;

/// The load of one endpoint by this instance's requests and by those of the others, and whether it
/// said to any of them that it leaves.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    own_units: AtomicU32,
    peer_units: AtomicU32,
    is_leaving: AtomicBool,
    is_out_of_reach: AtomicBool,
    /// When this instance reached the endpoint again, in milliseconds plus one, or 0.
    reached_again: AtomicU64,
    /// When a peer began to report that it reached the endpoint again, in milliseconds plus one, or 0.
    peer_reached: AtomicU64,
    /// Whether a peer reports that now.
    is_reached_by_peer: AtomicBool,
}

/// How long an instance reports that it reached an endpoint again, in milliseconds: many reports.
const REACHED_AGAIN_MS: u64 = 1_500;

impl EndpointLoad {
    /// Sets the load by this instance's requests, in requests of average size.
    pub fn set_own(&self, load: f64) {
        let units = (load * UNITS_PER_LOAD).max(0.0) as u32;
        self.own_units.store(units, Ordering::Relaxed);
    }

    /// Returns whether the endpoint said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records that the endpoint said that it leaves, and returns whether this is news.
    pub fn set_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Returns whether this instance establishes no connection to the endpoint.
    pub fn is_out_of_reach(&self) -> bool {
        self.is_out_of_reach.load(Ordering::Relaxed)
    }

    /// Sets whether this instance establishes no connection to the endpoint.
    pub fn set_out_of_reach(&self, out_of_reach: bool) {
        self.is_out_of_reach.store(out_of_reach, Ordering::Relaxed);
    }

    /// Records that this instance reached the endpoint again, which is reported for a while.
    pub fn record_reached_again(&self, now_ms: u64) {
        self.reached_again.store(now_ms + 1, Ordering::Relaxed);
    }

    /// Returns when a peer began to report that it reached the endpoint again, in milliseconds.
    pub fn peer_reached_ms(&self) -> Option<u64> {
        self.peer_reached.load(Ordering::Relaxed).checked_sub(1)
    }

    fn set_reached_by_peer(&self, is_reached: bool, now_ms: u64) {
        let was_reached = self.is_reached_by_peer.swap(is_reached, Ordering::Relaxed);
        if is_reached && !was_reached {
            self.peer_reached.store(now_ms + 1, Ordering::Relaxed);
        }
    }

    fn is_reached_again(&self, now_ms: u64) -> bool {
        let reached = self.reached_again.load(Ordering::Relaxed);
        reached > 0 && now_ms < reached + REACHED_AGAIN_MS
    }

    /// Returns the load by the requests of the other instances, in requests of average size.
    pub fn of_peers(&self) -> f64 {
        f64::from(self.peer_units.load(Ordering::Relaxed)) / UNITS_PER_LOAD
    }
}

/// The load of one run of one endpoint, as instances report it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEntry {
    /// Hash of the endpoint's identifier and start.
    pub endpoint: u64,
    /// Load, in tenths of an average request.
    pub units: u32,
}

/// What a peer reports of the endpoints that it does not reach.
#[derive(Debug, Clone, Default)]
pub struct PeerReach {
    /// When the report arrived, in milliseconds on this instance's clock.
    pub received_ms: u64,
    /// Hashes of the endpoints to which the peer establishes no connection.
    pub out_of_reach: HashSet<u64>,
}

/// Loads of all endpoints by this instance's requests and by those of the others, their rate limits,
/// and the requests and prompt parts that crash them.
#[derive(Debug, Default)]
pub struct SharedLoads {
    by_endpoint: Mutex<HashMap<u64, Arc<EndpointLoad>>>,
    limits: SharedLimits,
    cold: SharedCold,
    crashes: Arc<SharedCrashes>,
    paces: Arc<SharedPaces>,
    peer_reach: Mutex<HashMap<Incarnation, PeerReach>>,
    /// Hashes of the services of which this instance reaches no endpoint.
    cut_off: Mutex<HashSet<u64>>,
    /// Peers that reach no endpoint of a service, by its hash.
    peers_cut_off: Mutex<HashMap<u64, HashSet<Incarnation>>>,
}

/// Returns the hash of a service's name, which is the same on all instances.
pub fn service_hash(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

impl SharedLoads {
    /// Returns the endpoints that this instance's requests load.
    pub fn own(&self) -> Vec<LoadEntry> {
        let mut entries = Vec::new();
        for (endpoint, load) in self.loads().iter() {
            let units = load.own_units.load(Ordering::Relaxed);
            if units == 0 {
                continue;
            }
            entries.push(LoadEntry {
                endpoint: *endpoint,
                units,
            });
        }
        entries
    }

    /// Returns the endpoints that said that they leave, for reports to other instances.
    pub fn leaving(&self) -> Vec<u64> {
        let loads = self.loads();
        let leaving = loads.iter().filter(|(_, load)| load.is_leaving());
        leaving.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Returns the endpoints to which this instance establishes no connection.
    pub fn out_of_reach(&self) -> Vec<u64> {
        let loads = self.loads();
        let unreached = loads.iter().filter(|(_, load)| load.is_out_of_reach());
        unreached.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Returns the endpoints that this instance reached again lately, for reports to other instances.
    pub fn reached_again(&self, now_ms: u64) -> Vec<u64> {
        let loads = self.loads();
        let reached = loads
            .iter()
            .filter(|(_, load)| load.is_reached_again(now_ms));
        reached.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Replaces the endpoints that peers report to have reached again.
    pub fn set_reached_by_peers(&self, endpoints: &HashSet<u64>, now_ms: u64) {
        for (endpoint, load) in self.loads().iter() {
            load.set_reached_by_peer(endpoints.contains(endpoint), now_ms);
        }
    }

    /// Records the endpoints that said to other instances that they leave.
    pub fn record_leaving(&self, endpoints: &[u64]) {
        let loads = self.loads();
        for endpoint in endpoints {
            if let Some(load) = loads.get(endpoint) {
                load.set_leaving();
            }
        }
    }

    /// Replaces the sums of the other instances' loads; endpoints without a sum get 0.
    pub fn set_peers(&self, sums: &HashMap<u64, u32>) {
        for (endpoint, load) in self.loads().iter() {
            let units = sums.get(endpoint).copied().unwrap_or_default();
            load.peer_units.store(units, Ordering::Relaxed);
        }
    }

    /// Replaces what the peers report of the endpoints that they do not reach.
    pub fn set_peer_reach(&self, reach: HashMap<Incarnation, PeerReach>) {
        *self.lock_reach() = reach;
    }

    /// Returns what a peer reports of the endpoints that it does not reach, if it does.
    pub(crate) fn peer_reach(&self, peer: Incarnation) -> Option<PeerReach> {
        self.lock_reach().get(&peer).cloned()
    }

    /// Returns the hashes of the services of which this instance reaches no endpoint, for reports to other
    /// instances.
    pub fn cut_off(&self) -> HashSet<u64> {
        lock(&self.cut_off).clone()
    }

    /// Replaces the services of which this instance reaches no endpoint.
    pub fn set_cut_off(&self, services: HashSet<u64>) {
        *lock(&self.cut_off) = services;
    }

    /// Replaces the peers that report that they reach no endpoint of a service, by its hash.
    pub fn set_peers_cut_off(&self, peers: HashMap<u64, HashSet<Incarnation>>) {
        *lock(&self.peers_cut_off) = peers;
    }

    /// Returns the peers that report that they reach no endpoint of a service.
    pub fn peers_cut_off(&self, service: &str) -> HashSet<Incarnation> {
        let peers = lock(&self.peers_cut_off);
        peers
            .get(&service_hash(service))
            .cloned()
            .unwrap_or_default()
    }

    fn lock_reach(&self) -> MutexGuard<'_, HashMap<Incarnation, PeerReach>> {
        lock(&self.peer_reach)
    }

    /// Returns the load of the endpoint with this hash, which is created if there is none yet.
    pub fn entry(&self, endpoint: u64) -> Arc<EndpointLoad> {
        self.loads().entry(endpoint).or_default().clone()
    }

    /// Returns the rate limits of the endpoints.
    pub fn limits(&self) -> &SharedLimits {
        &self.limits
    }

    /// Returns which endpoints are cold.
    pub fn cold(&self) -> &SharedCold {
        &self.cold
    }

    /// Returns the requests and prompt parts that crash endpoints.
    pub fn crashes(&self) -> &Arc<SharedCrashes> {
        &self.crashes
    }

    /// Returns the samples of the speeds of the endpoints.
    pub fn paces(&self) -> &Arc<SharedPaces> {
        &self.paces
    }

    pub(crate) fn remove(&self, endpoint: u64) {
        self.loads().remove(&endpoint);
        self.limits.remove(endpoint);
        self.paces.remove(endpoint);
    }

    fn loads(&self) -> MutexGuard<'_, HashMap<u64, Arc<EndpointLoad>>> {
        lock(&self.by_endpoint)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
