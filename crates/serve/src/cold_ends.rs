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

/// Asks cold endpoints at the ends of their periods whether they are cold no longer.
pub(crate) async fn confirm(context: Rc<RequestContext>) {
    let executor = LocalExecutor::new();
    let checks = async {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            for (endpoint, state, health_path) in ends_to_confirm(&context) {
                let context = context.clone();
                let check = async move {
                    confirm_warm(&context, &endpoint, &state, &health_path).await;
                };
                executor.spawn(check).detach();
            }
        }
    };
    executor.run(checks).await
}

/// Returns the endpoints to ask now at the ends of their cold periods, with the paths of their health checks.
fn ends_to_confirm(context: &RequestContext) -> Vec<(Arc<Endpoint>, Rc<EndpointState>, Arc<str>)> {
    let now_ms = context.now_ms();
    let view = context.view();
    let mut targets = Vec::new();
    let Some(table) = &view.table else {
        return targets;
    };
    for (service, pool) in &view.pools {
        let service = table.service(service);
        let checked = service.filter(|service| service.cold.is_some());
        let Some(service) = checked.filter(|service| !service.health_path.is_empty()) else {
            continue;
        };
        for endpoint in &pool.endpoints {
            let state = context.endpoint_states.of(endpoint);
            let may_ask = !view.is_evacuated(&endpoint.zone, now_ms)
                && !state.is_out_of_reach()
                && state.cold.awaits_check(now_ms)
                && state.try_acquire_end_check(endpoint, &view, now_ms);
            if may_ask && state.cold.try_ask(now_ms) {
                let endpoint = endpoint.clone();
                targets.push((endpoint, state, service.health_path.clone()));
            }
        }
    }
    targets
}
