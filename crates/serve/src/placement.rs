//! Choice of the endpoint for the next send of a request.

use std::rc::Rc;
use std::sync::Arc;

use limits::{Candidate, PlacementError, PromptLoad, Withheld, place, shortlist};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::active_request::ActiveRequest;
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::endpoint_states::EndpointStates;
use crate::evacuation::eligible;
use crate::run::Run;
use crate::shared_load::MAX_DIRECT_INSTANCES;
use crate::view::View;

/// Share of an endpoint's connections that all instances together use.
const CONNECTION_SHARE: f64 = 0.9;

/// The endpoint chosen for one send.
pub(crate) struct Placement {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) endpoint_state: Rc<EndpointState>,
    /// Expected load of the request's prompt there.
    pub(crate) prompt_load: f64,
}

/// Chooses the endpoint of the next send.
///
/// # Errors
///
/// Fails when no endpoint of the service can take the request.
pub(crate) fn choose_endpoint(
    request: &ActiveRequest,
    view: &View,
    endpoint_states: &EndpointStates,
    zone: &str,
    prompt: &PromptLoad,
    now_ms: u64,
) -> Result<Placement, PlacementError> {
    let Some(pool) = view.pools.get(&request.service) else {
        return Err(PlacementError::NoCandidate);
    };
    let eligible = eligible(request, view, pool, now_ms);
    let max_connections = max_connections(request.max_connections, view.instance_count);
    let mut available = Vec::new();
    let mut candidates = Vec::new();
    let mut passes_over_cold = false;
    for endpoint in eligible {
        let state = endpoint_states.of(endpoint);
        if state.is_misdirected()
            || state.is_leaving()
            || request.tried.contains(&Run::of(endpoint))
        {
            continue;
        }
        let withheld = state.withheld(endpoint, view, now_ms);
        passes_over_cold |= withheld == Some(Withheld::Cold);
        candidates.push(Candidate {
            load: state.load(),
            slots: endpoint.slots,
            latency_ratio: state.latency_ratio(now_ms),
            time_ratio: state.pace.learned_ratio(now_ms),
            same_zone: &*endpoint.zone == zone,
            health: state.health(now_ms),
            affinity: affinity(request, endpoint),
            has_capacity: state.connections() < max_connections && withheld.is_none(),
        });
        available.push((endpoint, state));
    }
    let shared_loads = endpoint_states.shared_loads();
    if passes_over_cold {
        shared_loads.cold().count_withheld();
    }
    let mut random = fastrand::Rng::new();
    // The loads that the instances of a large fleet know are too old to choose among all endpoints.
    if view.instance_count > MAX_DIRECT_INSTANCES {
        let listed = shortlist(&candidates, &mut random);
        candidates = listed.iter().map(|index| candidates[*index]).collect();
        available = listed
            .iter()
            .map(|index| (available[*index].0, available[*index].1.clone()))
            .collect();
    }
    let selected = place(&candidates, prompt, &mut random)?;
    let (endpoint, endpoint_state) = available.swap_remove(selected.index);
    endpoint_state.acquire(now_ms);
    if endpoint_state.is_cold() {
        shared_loads.cold().count_sent();
    }
    Ok(Placement {
        endpoint: endpoint.clone(),
        endpoint_state,
        prompt_load: selected.prompt_load,
    })
}

/// Returns how long it takes until the first endpoint that could take a request like this one wants
/// requests again, in milliseconds, or `None` if one of them does now.
pub(crate) fn shortest_pause_ms(
    request: &ActiveRequest,
    view: &View,
    endpoint_states: &EndpointStates,
    now_ms: u64,
) -> Option<u64> {
    let pool = view.pools.get(&request.service)?;
    let eligible = eligible(request, view, pool, now_ms);
    let pauses = eligible
        .into_iter()
        .map(|endpoint| endpoint_states.of(endpoint))
        .filter(|state| !state.is_misdirected() && !state.is_leaving())
        .map(|state| state.wanted_pause_ms(now_ms));
    pauses.min().filter(|pause_ms| *pause_ms > 0)
}

/// Returns the rate at which rate limits and cold endpoints permit requests like this one from this instance, in
/// requests per second, or `None` if no endpoint that could take it has a limit or is cold.
pub(crate) fn limited_rate(
    request: &ActiveRequest,
    view: &View,
    endpoint_states: &EndpointStates,
    now_ms: u64,
) -> Option<f64> {
    let pool = view.pools.get(&request.service)?;
    let mut is_limited = false;
    let mut share_per_s = 0.0;
    let mut mean_per_s = 0.0;
    for endpoint in eligible(request, view, pool, now_ms) {
        let state = endpoint_states.of(endpoint);
        if let Some(rules) = state.cold.rules().filter(|_| state.is_cold()) {
            let division = rules.division;
            is_limited = true;
            if rules.is_sender {
                share_per_s += division.total_per_s() / division.senders as f64;
            }
            mean_per_s += division.total_per_s() / view.instance_count.max(1) as f64;
            continue;
        }
        let Some(division) = state.rate_division() else {
            continue;
        };
        is_limited = true;
        share_per_s += division.share_per_s();
        mean_per_s += division.limit_per_s / division.instances.max(1) as f64;
    }
    // A caller turned away by an instance without a share may come back to one that has one.
    let rate_per_s = if share_per_s > 0.0 {
        share_per_s
    } else {
        mean_per_s
    };
    is_limited.then_some(rate_per_s)
}

/// Returns the rendezvous-hashing weight of an endpoint for the prompt prefix that a request shares
/// with others.
fn affinity(request: &ActiveRequest, endpoint: &Endpoint) -> Option<u64> {
    if !request.route.prefix_affinity {
        return None;
    }
    let part = request.info.shared_part()?;
    Some(xxh3_64_with_seed(endpoint.id.as_bytes(), part.id))
}

/// Returns this instance's share of the connections to one endpoint, at least 1.
pub(crate) fn max_connections(endpoint_max: u32, instances: usize) -> u32 {
    let share = f64::from(endpoint_max) * CONNECTION_SHARE / instances.max(1) as f64;
    (share as u32).max(1)
}
