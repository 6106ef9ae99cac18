//! The states of all endpoints.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use kernel::Clock;
use limits::RateDivision;

use crate::cold_senders::ColdSenders;
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::run::Run;
use crate::settings::Settings;
use crate::shared_crashes::SharedCrashes;
use crate::shared_load::SharedLoads;
use crate::shared_pace::SharedPaces;
use crate::view::View;

/// States of all endpoints.
pub(crate) struct EndpointStates {
    by_key: RefCell<HashMap<Run, Rc<EndpointState>>>,
    synced: Cell<Option<Synced>>,
    shared_loads: Arc<SharedLoads>,
    cold_senders: ColdSenders,
}

/// What the states reflect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Synced {
    generation: u64,
    /// Number of changes of rate limits.
    limit_changes: u64,
    /// Whether this instance may rank itself for cold endpoints.
    may_rank: bool,
}

impl EndpointStates {
    pub(crate) fn new(settings: &Settings, clock: &Arc<dyn Clock>) -> EndpointStates {
        EndpointStates {
            by_key: RefCell::default(),
            synced: Cell::default(),
            shared_loads: Arc::default(),
            cold_senders: ColdSenders::new(settings, clock),
        }
    }

    /// Returns the state of an endpoint, which is created if there is none yet.
    pub(crate) fn of(&self, endpoint: &Endpoint) -> Rc<EndpointState> {
        let mut states = self.by_key.borrow_mut();
        let key = Run::of(endpoint);
        if let Some(state) = states.get(&key) {
            return state.clone();
        }
        let loads = &self.shared_loads;
        let state = Rc::new(EndpointState::new(key.shared_hash(), &key.id, loads));
        let earlier = states.iter().filter(|(run, _)| key.follows(run));
        if let Some((_, earlier)) = earlier.max_by_key(|(run, _)| run.started_ms) {
            state.take_over_pause(earlier);
        }
        states.insert(key, state.clone());
        // Others may have reported a rate limit of this endpoint.
        self.synced.set(None);
        state
    }

    /// Closes the idle connections that no answer has needed for a while.
    pub(crate) fn drop_unused_witnesses(&self) {
        for state in self.by_key.borrow().values() {
            state.witness.drop_unused();
        }
    }

    /// Returns what crashes endpoints.
    pub(crate) fn crashes(&self) -> &SharedCrashes {
        self.shared_loads.crashes()
    }

    /// Returns the samples of the speeds of the endpoints.
    pub(crate) fn paces(&self) -> &SharedPaces {
        self.shared_loads.paces()
    }

    pub(crate) fn shared_loads(&self) -> Arc<SharedLoads> {
        self.shared_loads.clone()
    }

    /// Records the rate limit that an endpoint names in a response, or that it names none.
    pub(crate) fn record_rate_limit(
        &self,
        endpoint: &Endpoint,
        limit_per_s: Option<f64>,
        now_ms: u64,
    ) {
        let endpoint = Run::of(endpoint).shared_hash();
        let limits = self.shared_loads.limits();
        limits.observe(endpoint, limit_per_s, now_ms);
    }

    /// Drops the states of endpoints that were removed a while ago and have no call in flight, and divides
    /// the rate limits of the others.
    pub(crate) fn sync(&self, view: &View, now_ms: u64) {
        let current = Synced {
            generation: view.generation,
            limit_changes: self.shared_loads.limits().changes(),
            may_rank: self.cold_senders.may_rank(view, now_ms),
        };
        if self.synced.replace(Some(current)) == Some(current) {
            return;
        }
        self.drop_unlisted(view, now_ms);
        self.sync_cold(view, current.may_rank, now_ms);
        for (key, state) in self.by_key.borrow().iter() {
            let limit_per_s = self.shared_loads.limits().limit_per_s(key.shared_hash());
            let division = limit_per_s.map(|limit_per_s| RateDivision {
                limit_per_s,
                rank: view.rank_for(&key.id),
                instances: view.instance_count,
            });
            if state.set_rate_division(division, now_ms) {
                tracing::info!(
                    id = &*key.id,
                    limit_per_s,
                    share_per_s = division.map(|division| division.share_per_s()),
                    instances = view.instance_count,
                    "endpoint: rate limit"
                );
            }
        }
    }

    /// Takes over how the cold endpoints of each service are treated, and what the entries say of them.
    fn sync_cold(&self, view: &View, may_rank: bool, now_ms: u64) {
        let Some(table) = &view.table else {
            return;
        };
        for (service, pool) in &view.pools {
            let cold = table.service(service).and_then(|service| service.cold);
            for endpoint in &pool.endpoints {
                let Some(cold) = &cold else {
                    if let Some(state) = self.by_key.borrow().get(&Run::of(endpoint)) {
                        state.cold.set_rules(None);
                    }
                    continue;
                };
                let state = self.of(endpoint);
                let rules = self.cold_senders.rules(endpoint, cold, view, may_rank);
                state.cold.set_rules(Some(rules));
                let ages = self.cold_senders.ages(endpoint, now_ms);
                state.cold.see_entry(endpoint, ages, now_ms);
                state.update_cold(endpoint, now_ms);
            }
        }
    }

    /// Looks at the cold endpoints again, so that changes are logged and others are told of those that are not
    /// reached. An instance that reaches less than half of a service may itself be cut off.
    pub(crate) fn refresh_cold(&self, view: &View, now_ms: u64) {
        for pool in view.pools.values() {
            let state = |endpoint: &Arc<Endpoint>| self.of(endpoint);
            let states: Vec<Rc<EndpointState>> = pool.endpoints.iter().map(state).collect();
            let unreached = states.iter().filter(|state| state.is_out_of_reach());
            let is_majority_reached = unreached.count() * 2 < states.len();
            for (endpoint, state) in pool.endpoints.iter().zip(&states) {
                if state.cold.rules().is_none() && !state.is_cold() {
                    continue;
                }
                if state.is_out_of_reach() && is_majority_reached {
                    state.cold.record_still_unreached(now_ms);
                }
                state.update_cold(endpoint, now_ms);
            }
        }
    }

    /// What an endpoint says of itself holds for its run, also while its entry lapses and comes back.
    fn drop_unlisted(&self, view: &View, now_ms: u64) {
        let endpoints = view.endpoints();
        let listed: HashSet<Run> = endpoints.map(|endpoint| Run::of(endpoint)).collect();
        let mut states = self.by_key.borrow_mut();
        states.retain(|key, state| {
            let is_listed = listed.contains(key);
            if !is_listed && listed.iter().any(|run| run.follows(key)) {
                state.record_ended(now_ms);
            }
            let is_kept = state.is_kept(is_listed, now_ms);
            if !is_kept {
                self.shared_loads.remove(key.shared_hash());
            }
            is_kept
        });
    }
}
