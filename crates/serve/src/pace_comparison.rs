//! Comparison of the learned speeds of the endpoints of each version.

use std::cell::Cell;
use std::collections::BTreeMap;

use limits::time_ratios;

use crate::endpoint::Endpoint;
use crate::endpoint_states::EndpointStates;
use crate::run::Run;
use crate::view::View;

/// How often the endpoints are compared, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 500;

/// Shortest time between log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// When the endpoints were last compared.
#[derive(Debug, Default)]
pub(crate) struct PaceComparison {
    compared_ms: Cell<Option<u64>>,
    /// Endpoints that differ in speed, as last logged, and when that was.
    learned: Cell<u64>,
    logged_ms: Cell<Option<u64>>,
}

impl PaceComparison {
    /// Compares the endpoints of each version, if it is time. Those of another version are judged by
    /// its roll-out.
    pub(crate) fn update(&self, states: &EndpointStates, view: &View, now_ms: u64) {
        let last_ms = self.compared_ms.get();
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + COMPARE_INTERVAL_MS) {
            return;
        }
        self.compared_ms.set(Some(now_ms));
        let mut learned = 0;
        for endpoints in by_version(view).into_values() {
            learned += compare(states, &endpoints, now_ms);
        }
        states.paces().set_learned(learned);
        let before = self.learned.get();
        // Counts that change by one now and then say nothing.
        let is_news = learned.abs_diff(before) > before / 4;
        let logged_ms = self.logged_ms.get();
        if is_news && logged_ms.is_none_or(|logged_ms| now_ms >= logged_ms + LOG_INTERVAL_MS) {
            self.learned.set(learned);
            self.logged_ms.set(Some(now_ms));
            tracing::info!(learned, before, "endpoint: speeds learned");
        }
    }
}

fn by_version(view: &View) -> BTreeMap<(&str, &str), Vec<&Endpoint>> {
    let mut groups: BTreeMap<(&str, &str), Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in view.endpoints() {
        let key = (&*endpoint.service, &*endpoint.version);
        groups.entry(key).or_default().push(endpoint);
    }
    groups
}

/// Compares endpoints of one version, and returns how many differ from the others.
fn compare(states: &EndpointStates, endpoints: &[&Endpoint], now_ms: u64) -> u64 {
    let mut hashes = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        hashes.push(Run::of(endpoint).shared_hash());
    }
    let paces = states.paces().of_fleet(&hashes);
    let mut learned = 0;
    for (endpoint, ratio) in endpoints.iter().zip(time_ratios(&paces, now_ms)) {
        let state = states.of(endpoint);
        state.pace.set_ratio(ratio, now_ms);
        learned += u64::from(ratio.is_some());
    }
    learned
}
