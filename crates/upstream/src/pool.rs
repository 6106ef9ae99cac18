//! The pools of the configuration in force.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use catalog::{Pool, PoolKind, Snapshot};
use limits::{EndpointView, RetryAfterSchedule, SuccessRetryBudget};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::EndpointState;

/// Retries as a share of successes.
const RETRY_SHARE: f64 = 0.1;

/// How many retries a pool may save up.
const RETRY_CAP: f64 = 10.0;

/// The running state of one pool.
#[derive(Debug)]
pub struct PoolState {
    /// The declaration.
    pub spec: Arc<Pool>,
    /// The endpoints that this instance uses.
    pub endpoints: Vec<Arc<EndpointState>>,
    moving: Arc<Moving>,
}

/// The state that outlives a change of the declaration.
#[derive(Debug)]
struct Moving {
    comeback: Mutex<RetryAfterSchedule>,
    retries: Mutex<SuccessRetryBudget>,
}

impl PoolState {
    /// Returns whether the endpoints are model engines.
    pub fn is_engine(&self) -> bool {
        self.spec.kind == PoolKind::Engine
    }

    /// Returns the mean time of a call over the endpoints, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        let known: Vec<f64> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.mean_ms())
            .collect();
        let known: Vec<f64> = known.into_iter().filter(|mean| *mean > 0.0).collect();
        if known.is_empty() {
            return 0.0;
        }
        known.iter().sum::<f64>() / known.len() as f64
    }

    pub(crate) fn views(&self, zone: &str, now_ms: u64) -> Vec<EndpointView> {
        let mean_ms = self.mean_ms();
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.view(zone, mean_ms, now_ms))
            .collect()
    }

    /// Books the moment at which a refused caller should come back and returns the delay, in
    /// milliseconds.
    pub(crate) fn come_back_ms(&self, now_ms: u64, instances: usize, uniform: f64) -> u64 {
        let slots: u32 = self.endpoints.iter().map(|endpoint| endpoint.slots).sum();
        let busy_s = self.mean_ms().max(1.0) / 1000.0;
        let free_per_s = f64::from(slots) / busy_s / instances.max(1) as f64;
        let mut comeback = self
            .moving
            .comeback
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        comeback.next_delay_ms(now_ms, free_per_s, uniform)
    }

    pub(crate) fn take_retry(&self) -> bool {
        self.moving
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_acquire()
    }

    pub(crate) fn note_success(&self) {
        self.moving
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }
}

/// All pools.
#[derive(Debug, Clone, Default)]
pub struct PoolMap {
    pools: BTreeMap<Arc<str>, Arc<PoolState>>,
}

impl PoolMap {
    /// Builds the pools of a snapshot, keeping the state of endpoints that stay.
    ///
    /// Of each pool at most `subset` endpoints are used, chosen by a hash of the instance's name,
    /// so that reports stay fresh when instances are many; 0 uses all.
    pub fn build(snapshot: &Snapshot, last: &PoolMap, instance: &str, subset: usize) -> PoolMap {
        let mut pools = BTreeMap::new();
        for (name, spec) in &snapshot.pools {
            let held = last.pools.get(name);
            pools.insert(
                name.clone(),
                Arc::new(build_pool(spec, held, instance, subset)),
            );
        }
        PoolMap { pools }
    }

    /// Finds a pool.
    pub fn get(&self, name: &str) -> Option<&Arc<PoolState>> {
        self.pools.get(name)
    }

    /// Returns all pools.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<PoolState>> {
        self.pools.values()
    }

    /// Finds the endpoint of a pool by name.
    pub fn endpoint(&self, pool: &str, name: &str) -> Option<&Arc<EndpointState>> {
        self.get(pool)?
            .endpoints
            .iter()
            .find(|endpoint| &*endpoint.name == name)
    }
}

fn build_pool(
    spec: &Arc<Pool>,
    held: Option<&Arc<PoolState>>,
    instance: &str,
    subset: usize,
) -> PoolState {
    let mut specs: Vec<_> = spec
        .endpoints
        .iter()
        .filter(|endpoint| !endpoint.draining)
        .collect();
    if subset > 0 && specs.len() > subset {
        let seed = xxh3_64_with_seed(instance.as_bytes(), 0);
        specs.sort_by_key(|endpoint| xxh3_64_with_seed(endpoint.name.as_bytes(), seed));
        specs.truncate(subset);
    }
    let mut endpoints = Vec::new();
    for wanted in specs {
        let Ok(addr) = wanted.addr.parse() else {
            continue;
        };
        let same = |endpoint: &&Arc<EndpointState>| {
            endpoint.name == wanted.name && endpoint.addr == addr && endpoint.slots == wanted.slots
        };
        let kept = held.and_then(|pool| pool.endpoints.iter().find(same));
        let made = || {
            Arc::new(EndpointState::new(
                wanted.name.clone(),
                addr,
                wanted.zone.clone(),
                wanted.slots,
            ))
        };
        endpoints.push(kept.cloned().unwrap_or_else(made));
    }
    let fresh = || {
        Arc::new(Moving {
            comeback: Mutex::default(),
            retries: Mutex::new(SuccessRetryBudget::new(RETRY_SHARE, RETRY_CAP)),
        })
    };
    let moving = held.map_or_else(fresh, |pool| pool.moving.clone());
    PoolState {
        spec: spec.clone(),
        endpoints,
        moving,
    }
}
