//! Whether this instance reaches the endpoints of a service, and how it finds that it does again.

use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use limits::{Path, Reach};
use relay::Socket;

use crate::active_request::ActiveRequest;
use crate::call_record::{is_broken_connection, record_connected, record_unreachable};
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::endpoint_states::EndpointStates;
use crate::evacuation::eligible;
use crate::outcome::Counters;
use crate::request_context::RequestContext;
use crate::shared_load::service_hash;
use crate::view::{Pool, View};

/// How often the states of endpoints are checked for those to probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns what this instance reaches of the endpoints that could take a request.
pub(crate) fn reach(request: &ActiveRequest, view: &View, context: &RequestContext) -> Reach {
    let Some(pool) = view.pools.get(&request.service) else {
        return Reach::Some;
    };
    let eligible = eligible(request, view, pool, context.now_ms());
    let states = &context.endpoint_states;
    let mut unreached = eligible
        .iter()
        .map(|endpoint| states.of(endpoint).is_out_of_reach());
    if !eligible.is_empty() && unreached.all(|is_unreached| is_unreached) {
        return Reach::None;
    }
    let probes = context.reach_probes.borrow();
    match probes.get(&request.service) {
        Some(probes) if probes.is_cut_off() => Reach::Doubtful,
        _ => Reach::Some,
    }
}

fn paths(pool: &Pool, view: &View, states: &EndpointStates, is_cut_off: bool) -> Vec<Path> {
    let path = |endpoint: &Arc<Endpoint>| states.of(endpoint).path(endpoint, view, is_cut_off);
    pool.endpoints.iter().map(path).collect()
}

/// An endpoint to probe.
struct Target {
    endpoint: Arc<Endpoint>,
    state: Rc<EndpointState>,
}

/// Probes endpoints that may be out of reach by connections without a request, so that callers' requests
/// are not needed to learn of the begin and the end of a cut.
pub(crate) async fn probe(context: Rc<RequestContext>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let executor = LocalExecutor::new();
        let mut probes = Vec::new();
        for target in due(&context) {
            probes.push(executor.spawn(probe_one(context.clone(), target)));
        }
        executor
            .run(async {
                for probe in probes {
                    probe.await;
                }
            })
            .await;
    }
}

/// Returns the endpoints to probe now, and lets those get requests that peers reach again.
fn due(context: &RequestContext) -> Vec<Target> {
    let now_ms = context.now_ms();
    let view = context.view();
    let states = &context.endpoint_states;
    states.drop_unused_witnesses();
    states.refresh_cold(&view, now_ms);
    let mut targets = Vec::new();
    let mut cut_off = HashSet::new();
    for (service, pool) in &view.pools {
        let mut probes = context.reach_probes.borrow_mut();
        let probes = probes.entry(service.clone()).or_default();
        let was_cut_off = probes.is_cut_off();
        let paths = paths(pool, &view, states, was_cut_off);
        let plan = probes.plan(
            &paths,
            view.instance_count,
            now_ms,
            &mut fastrand::Rng::new(),
        );
        if probes.is_cut_off() {
            cut_off.insert(service_hash(service));
        }
        if probes.is_cut_off() != was_cut_off {
            log_cut(context, service, probes.is_cut_off());
        }
        for index in plan.restore {
            let endpoint = &pool.endpoints[index];
            states.of(endpoint).restore(now_ms);
            tracing::info!(
                id = &*endpoint.id,
                service = &**service,
                "endpoint: to be tried again"
            );
        }
        for index in &plan.probe {
            let endpoint = pool.endpoints[*index].clone();
            let state = states.of(&endpoint);
            targets.push(Target { endpoint, state });
        }
        if !plan.probe.is_empty() {
            let is_cut_off = probes.is_cut_off();
            let count = plan.probe.len();
            tracing::info!(
                service = &**service,
                count,
                is_cut_off,
                "endpoint: probes for reach"
            );
        }
    }
    states.shared_loads().set_cut_off(cut_off);
    targets
}

/// Logs that a cut from all endpoints of a service began or ended, with the peers in the same state.
fn log_cut(context: &RequestContext, service: &str, is_cut_off: bool) {
    let shared_loads = context.endpoint_states.shared_loads();
    let peers_cut_off = shared_loads.peers_cut_off(service).len();
    tracing::info!(service, is_cut_off, peers_cut_off, "endpoint: cut off");
}

async fn probe_one(context: Rc<RequestContext>, target: Target) {
    let Target { endpoint, state } = target;
    state.set_probed_ms(context.now_ms());
    // The result is recorded for the endpoint.
    drop(connect(&context, &endpoint, &state).await);
}

/// Opens a connection to an endpoint without a request, records whether it is in reach, and returns it.
///
/// # Errors
///
/// Fails if the connection is refused or not established in time.
pub(crate) async fn connect(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
) -> io::Result<Socket> {
    let opened_ms = context.now_ms();
    Counters::add(&context.counters.connections_for_probes);
    let timeout = Duration::from_millis(context.settings.connect_timeout_ms);
    match Socket::connect(endpoint.addr, Instant::now() + timeout).await {
        Ok(socket) => {
            record_connected(endpoint, state, opened_ms);
            Ok(socket)
        }
        Err(err) => {
            record_unreachable(endpoint, state, opened_ms, context.now_ms());
            if is_broken_connection(&err) {
                state.cold.record_broken(context.now_ms());
            }
            Err(err)
        }
    }
}
