//! Health checks of endpoints at the ends of their cold periods.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;

use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::life::confirm_warm;
use crate::request_context::RequestContext;

/// How often cold endpoints are checked for those whose periods end.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The same while no endpoint is cold, less than half of the grace, and where no service has cold endpoints: looking
/// at all endpoints takes a notable part of a tenth of a core.
const WARM_INTERVAL: Duration = Duration::from_millis(200);
const UNUSED_INTERVAL: Duration = Duration::from_secs(2);

/// An endpoint to ask, and the path of its health check.
struct Target {
    endpoint: Arc<Endpoint>,
    state: Rc<EndpointState>,
    health_path: Arc<str>,
}

/// Asks cold endpoints at the ends of their periods whether they are cold no longer.
pub(crate) async fn confirm(context: Rc<RequestContext>) {
    let executor = LocalExecutor::new();
    let checks = async {
        let mut interval = CHECK_INTERVAL;
        loop {
            Timer::after(interval).await;
            let (next_interval, targets) = ends_to_confirm(&context);
            interval = next_interval;
            for target in targets {
                let context = context.clone();
                let check = async move {
                    let Target {
                        endpoint,
                        state,
                        health_path,
                    } = &target;
                    confirm_warm(&context, endpoint, state, health_path).await;
                };
                executor.spawn(check).detach();
            }
        }
    };
    executor.run(checks).await
}

/// Returns when to look again, and the endpoints to ask now at the ends of their cold periods.
fn ends_to_confirm(context: &RequestContext) -> (Duration, Vec<Target>) {
    let mut interval = UNUSED_INTERVAL;
    let mut targets = Vec::new();
    let now_ms = context.now_ms();
    let view = context.view.load_full();
    let Some(table) = &view.table else {
        return (interval, targets);
    };
    for (service, pool) in &view.pools {
        let service = table.service(service);
        let Some(service) = service.filter(|service| service.cold.is_some()) else {
            continue;
        };
        interval = interval.min(WARM_INTERVAL);
        // Takes over what the view says of cold endpoints, if it has changed.
        context.endpoint_states.sync(&view, now_ms);
        if service.health_path.is_empty() {
            continue;
        }
        for endpoint in &pool.endpoints {
            let state = context.endpoint_states.of(endpoint);
            let is_out_of_reach = state.is_out_of_reach();
            if !state.cold.is_cold(is_out_of_reach, now_ms) {
                continue;
            }
            interval = CHECK_INTERVAL;
            let may_ask = !view.is_evacuated(&endpoint.zone, now_ms)
                && !is_out_of_reach
                && state.cold.awaits_check(now_ms)
                && state.try_acquire_end_check(endpoint, &view, now_ms);
            if may_ask && state.cold.try_ask(now_ms) {
                targets.push(Target {
                    endpoint: endpoint.clone(),
                    state,
                    health_path: service.health_path.clone(),
                });
            }
        }
    }
    (interval, targets)
}
