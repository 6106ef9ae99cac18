//! Endpoint pools of the current configuration.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use catalog::{Pool, PoolKind, Snapshot};
use limits::{EndpointView, RetryAfterSchedule, SuccessRetryBudget};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::EndpointState;

/// Retries earned per success.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Maximum number of unused retries that a pool keeps.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The configuration and run-time state of one pool.
#[derive(Debug)]
pub struct PoolState {
    /// The pool as configured.
    pub spec: Arc<Pool>,
    /// The endpoints that this instance uses, without draining ones.
    pub endpoints: Vec<Arc<EndpointState>>,
    retry_state: Arc<RetryState>,
}

/// State that is kept when the pool's configuration changes.
#[derive(Debug)]
struct RetryState {
    retry_after: Mutex<RetryAfterSchedule>,
    retry_budget: Mutex<SuccessRetryBudget>,
}

impl PoolState {
    /// Returns whether the endpoints are model engines rather than plain services.
    pub fn is_engine(&self) -> bool {
        self.spec.kind == PoolKind::Engine
    }

    /// Returns the mean request duration, averaged over the endpoints that have one, in
    /// milliseconds; 0 if none has.
    pub fn mean_ms(&self) -> f64 {
        let means: Vec<f64> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.mean_ms())
            .collect();
        let means: Vec<f64> = means.into_iter().filter(|mean| *mean > 0.0).collect();
        if means.is_empty() {
            return 0.0;
        }
        means.iter().sum::<f64>() / means.len() as f64
    }

    pub(crate) fn views(&self, zone: &str, now_ms: u64) -> Vec<EndpointView> {
        let mean_ms = self.mean_ms();
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.view(zone, mean_ms, now_ms))
            .collect()
    }

    /// Returns the delay after which a refused caller should retry, in milliseconds. Delays are
    /// spread so that retries arrive no faster than this instance's share of slots becomes free.
    pub(crate) fn retry_after_ms(&self, now_ms: u64, instances: usize, uniform: f64) -> u64 {
        let slots: u32 = self.endpoints.iter().map(|endpoint| endpoint.slots).sum();
        let request_s = self.mean_ms().max(1.0) / 1000.0;
        let free_per_s = f64::from(slots) / request_s / instances.max(1) as f64;
        let mut retry_after = self
            .retry_state
            .retry_after
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        retry_after.next_delay_ms(now_ms, free_per_s, uniform)
    }

    pub(crate) fn try_acquire_retry(&self) -> bool {
        self.retry_state
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_acquire()
    }

    pub(crate) fn record_success(&self) {
        self.retry_state
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }
}

/// All pools of a configuration, by name.
#[derive(Debug, Clone, Default)]
pub struct PoolMap {
    pools: BTreeMap<Arc<str>, Arc<PoolState>>,
}

impl PoolMap {
    /// Builds the pools of a configuration, keeping the state of unchanged endpoints in `previous`.
    ///
    /// Each pool uses at most `subset` endpoints, chosen by a hash of the instance's name, or all
    /// if 0. With many instances, a subset receives enough requests from each to keep its load
    /// reports fresh.
    pub fn build(
        snapshot: &Snapshot,
        previous: &PoolMap,
        instance: &str,
        subset: usize,
    ) -> PoolMap {
        let mut pools = BTreeMap::new();
        for (name, spec) in &snapshot.pools {
            let previous_pool = previous.pools.get(name);
            pools.insert(
                name.clone(),
                Arc::new(build_pool(spec, previous_pool, instance, subset)),
            );
        }
        PoolMap { pools }
    }

    /// Returns a pool by name.
    pub fn get(&self, name: &str) -> Option<&Arc<PoolState>> {
        self.pools.get(name)
    }

    /// Iterates over the pools in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<PoolState>> {
        self.pools.values()
    }

    /// Returns an endpoint by the names of its pool and itself.
    pub fn endpoint(&self, pool: &str, name: &str) -> Option<&Arc<EndpointState>> {
        self.get(pool)?
            .endpoints
            .iter()
            .find(|endpoint| &*endpoint.name == name)
    }
}

fn build_pool(
    spec: &Arc<Pool>,
    previous: Option<&Arc<PoolState>>,
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
    for endpoint_spec in specs {
        let Ok(addr) = endpoint_spec.addr.parse() else {
            continue;
        };
        let unchanged = |endpoint: &&Arc<EndpointState>| {
            endpoint.name == endpoint_spec.name
                && endpoint.addr == addr
                && endpoint.slots == endpoint_spec.slots
        };
        let kept = previous.and_then(|pool| pool.endpoints.iter().find(unchanged));
        let new_endpoint = || {
            Arc::new(EndpointState::new(
                endpoint_spec.name.clone(),
                addr,
                endpoint_spec.zone.clone(),
                endpoint_spec.slots,
            ))
        };
        endpoints.push(kept.cloned().unwrap_or_else(new_endpoint));
    }
    let new_retry_state = || {
        Arc::new(RetryState {
            retry_after: Mutex::default(),
            retry_budget: Mutex::new(SuccessRetryBudget::new(
                RETRIES_PER_SUCCESS,
                MAX_SAVED_RETRIES,
            )),
        })
    };
    let retry_state = previous.map_or_else(new_retry_state, |pool| pool.retry_state.clone());
    PoolState {
        spec: spec.clone(),
        endpoints,
        retry_state,
    }
}
