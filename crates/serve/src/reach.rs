//! Whether this instance reaches the endpoints of a service, and how it finds that it does again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use relay::Socket;

use crate::active_request::ActiveRequest;
use crate::call_record::{record_connected, record_unreachable};
use crate::endpoint::Endpoint;
use crate::endpoint_state::{EndpointState, EndpointStates};
use crate::request_context::RequestContext;
use crate::view::View;

/// How often the states of endpoints are checked for those to probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between the probes of one endpoint, in milliseconds.
pub(crate) const PROBE_INTERVAL_MS: u64 = 400;

/// How long an endpoint may have been silent to count as reached without a probe, in milliseconds.
const RECENT_MS: u64 = 500;

/// Endpoints of a service that are out of reach together for another reason than their own end.
const SUSPICIOUS_COUNT: usize = 2;

/// Returns whether all endpoints that could take a request are out of reach.
pub(crate) fn is_cut_off(request: &ActiveRequest, view: &View, states: &EndpointStates) -> bool {
    let Some(pool) = view.pools.get(&request.service) else {
        return false;
    };
    let eligible = pool.eligible(request.session_unit());
    let mut states = eligible.iter().map(|endpoint| states.of(endpoint));
    !eligible.is_empty() && states.all(|state| state.is_out_of_reach())
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

/// Returns the endpoints to probe now.
fn due(context: &RequestContext) -> Vec<Target> {
    let now_ms = context.now_ms();
    let view = context.view();
    let mut targets = Vec::new();
    for pool in view.pools.values() {
        let target = |endpoint: &Arc<Endpoint>| Target {
            endpoint: endpoint.clone(),
            state: context.endpoint_states.of(endpoint),
        };
        let known: Vec<Target> = pool.endpoints.iter().map(target).collect();
        let unreached = known.iter().filter(|known| known.state.is_out_of_reach());
        let unreached_count = unreached.count();
        if unreached_count < SUSPICIOUS_COUNT.min(known.len()).max(1) {
            continue;
        }
        targets.extend(known.into_iter().filter(|Target { state, .. }| {
            let is_silent = now_ms >= state.last_received_ms() + RECENT_MS;
            (state.is_out_of_reach() || is_silent)
                && now_ms >= state.probed_ms() + PROBE_INTERVAL_MS
        }));
    }
    targets
}

async fn probe_one(context: Rc<RequestContext>, target: Target) {
    let Target { endpoint, state } = target;
    let opened_ms = context.now_ms();
    state.set_probed_ms(opened_ms);
    let addr: SocketAddr = endpoint.addr;
    let timeout = Duration::from_millis(context.settings.connect_timeout_ms);
    match Socket::connect(addr, Instant::now() + timeout).await {
        Ok(_) => record_connected(&endpoint, &state, opened_ms),
        Err(_) => record_unreachable(&endpoint, &state, context.now_ms()),
    }
}
