//! What a request needs before it is sent: route, service, workspace and deadline.

use std::sync::Arc;
use std::time::Duration;

use kernel::{Failure, Reason, Verdict};
use relay::Request;
use route::{DEFAULT_TIMEOUT_MS, KeyError, Table, common_homes};

use crate::active_request::ActiveRequest;
use crate::carry_message::CarryOrder;
use crate::late_repeats::RequestRepeats;
use crate::request::RequestInfo;
use crate::request_context::RequestContext;
use crate::request_key::RequestKey;
use crate::view::View;

/// Retry-after of an instance that has loaded no configuration yet, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 300;

/// Determines the route, service, workspace and deadline of a request.
///
/// # Errors
///
/// Fails if one of them cannot be determined; the request did not run then.
pub(crate) fn admit(
    context: &RequestContext,
    view: &View,
    info: &RequestInfo,
    inbound: Request,
    order: Option<CarryOrder>,
) -> Result<ActiveRequest, Failure> {
    let Some(table) = &view.table else {
        let failure = Failure::not_run(Reason::NotReady, "no configuration is loaded yet");
        return Err(failure.retry_after_ms(NO_CONFIG_RETRY_AFTER_MS));
    };
    if view.awaits_evacuations {
        let failure = Failure::not_run(Reason::NotReady, "evacuations are not known yet");
        return Err(failure.retry_after_ms(NO_CONFIG_RETRY_AFTER_MS));
    }
    if let Some(order) = &order
        && table.version() < order.config
    {
        let detail = format!("configuration {} is not loaded yet", order.config);
        let failure = Failure::not_run(Reason::NotReady, detail);
        return Err(failure.retry_after_ms(NO_CONFIG_RETRY_AFTER_MS));
    }
    let Some(route) = table.find(&info.host, &info.path) else {
        let detail = format!("no route for host '{}' and path '{}'", info.host, info.path);
        return Err(Failure::not_run(Reason::NotFound, detail));
    };
    let workspace = table.workspace(route, info.key.as_deref());
    let workspace = workspace.map_err(|err| {
        let detail = match err {
            KeyError::Missing => "the request carries no API key",
            KeyError::Unknown => "no workspace holds the request's key",
        };
        Failure::not_run(Reason::Unauthorized, detail)
    })?;
    let target = match &order {
        Some(order) => route.target(&order.service),
        None => route.choose_target(fastrand::f64()),
    };
    let Some(target) = target else {
        let wanted = order.as_ref().map_or("any", |order| &order.service);
        let detail = format!("route '{}' leads to no service '{wanted}'", route.name);
        return Err(Failure::not_run(Reason::NoEndpoint, detail));
    };
    let mut info = info.clone();
    let mut granted = route.max_attempts;
    if let Some(order) = &order {
        info.remaining_ms = Some(order.remaining_ms);
        info.resume_after = order.resume_after;
        granted = granted.min(order.attempts);
    }
    let take_on = |order| context.carried_count.take_on(order, route.priority);
    let carried = order.map(take_on).transpose()?;
    let remaining_ms = info.remaining_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let timeout_ms = route.timeout_ms.unwrap_or(u64::MAX);
    let deadline = inbound.received_at + Duration::from_millis(remaining_ms.min(timeout_ms));
    let caller = workspace.map(|workspace| &*workspace.name);
    let key = RequestKey::of(&info, &inbound, caller);
    Ok(ActiveRequest {
        info,
        key,
        route: route.clone(),
        service: target.service.clone(),
        max_connections: max_connections(table, &target.service),
        homes: common_homes(route, workspace.map(|workspace| &**workspace)),
        workspace: workspace.cloned(),
        deadline,
        tried: Vec::new(),
        sends: 0,
        runs: route.max_attempts - granted,
        is_sent: false,
        repeats: RequestRepeats::new(&target.service, &context.late_repeats),
        refusals: 0,
        unreached: 0,
        unreached_time: Duration::ZERO,
        carried,
        peers_asked: Vec::new(),
        carried_by: None,
        peer_failure: None,
        is_resumed: false,
        is_moving: false,
        verdict: Verdict::NotRun,
        crashes: 0,
        replaced_runs: 0,
        end_is_recorded: false,
        size: None,
        rank: None,
        unsure_size: None,
        confidence: None,
        last_endpoint: None,
        failure_response: None,
        inbound,
    })
}

fn max_connections(table: &Table, service: &Arc<str>) -> u32 {
    let service = table.service(service);
    service.map_or(u32::MAX, |service| service.max_connections)
}
