//! Calls to plain services.

use std::sync::Arc;

use http_types::Response;
use kernel::{Failure, Reason};
use upstream::PoolState;
use web::IncomingRequest;

use crate::answer::context::Context;
use crate::answer::execution::{self, Job};
use crate::answer::idempotency;
use crate::answer::service_call::ServiceCall;
use crate::state::shared::Shared;

/// The path prefix of service calls.
pub(crate) const PREFIX: &str = "/v1/services/";

/// Answers a service call: `POST /v1/services/{pool}/{call}`.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    incoming: IncomingRequest,
    body: Vec<u8>,
) -> Result<Response, Failure> {
    let mut context = Context::from_request(&shared, &incoming)?;
    let rest = incoming
        .path()
        .strip_prefix(PREFIX)
        .unwrap_or_default()
        .to_owned();
    let Some((pool, call)) = rest.split_once('/').filter(|(_, call)| !call.is_empty()) else {
        return Err(Failure::not_run(
            Reason::NotFound,
            "expected a path /v1/services/POOL/CALL",
        ));
    };
    let pool = find_pool(&context, pool)?;
    if serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_err() {
        return Err(Failure::not_run(Reason::BadRequest, "the body is not JSON"));
    }
    context.check_serving(&shared)?;
    context.non_idempotent |= !pool.spec.idempotent;
    let service = ServiceCall {
        pool,
        path: format!("/{call}"),
        body: body.clone(),
    };
    if context.key.is_some() {
        let prepare =
            Box::new(move |context: &Context, shared: &Shared| prepare(shared, context, service));
        return idempotency::respond(shared, context, incoming, body, prepare).await;
    }
    if context.non_idempotent {
        let detail = "a non-idempotent call needs a header 'Idempotency-Key'";
        return Err(Failure::not_run(Reason::BadRequest, detail));
    }
    let job = prepare(&shared, &context, service)?;
    execution::respond(shared, context, job).await
}

fn prepare(shared: &Shared, context: &Context, service: ServiceCall) -> Result<Job, Failure> {
    context.acquire_quota(shared)?;
    Ok(Job::Service(service))
}

fn find_pool(context: &Context, name: &str) -> Result<Arc<PoolState>, Failure> {
    let allowed = context
        .workspace
        .services
        .iter()
        .any(|service| &**service == name);
    let pool = context
        .view
        .pools
        .get(name)
        .filter(|pool| !pool.is_engine());
    match pool {
        Some(pool) if allowed => Ok(pool.clone()),
        Some(_) => {
            let detail = format!(
                "workspace '{}' may not call service '{name}'",
                context.workspace.name
            );
            Err(Failure::not_run(Reason::Forbidden, detail))
        }
        None => Err(Failure::not_run(
            Reason::NotFound,
            format!("unknown service '{name}'"),
        )),
    }
}
