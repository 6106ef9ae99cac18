//! Chat completions: `POST /v1/chat/completions`.

use std::sync::Arc;

use http_types::Response;
use kernel::{Failure, Reason};
use web::IncomingRequest;

use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::execution::{self, Job};
use crate::answer::{idempotency, plan};
use crate::state::shared::Shared;

/// Answers a chat completion.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    incoming: IncomingRequest,
    body: Vec<u8>,
) -> Result<Response, Failure> {
    let context = Context::from_request(&shared, &incoming)?;
    let chat = ChatRequest::parse(&body)?;
    context.check_serving(&shared)?;
    if context.key.is_some() {
        let prepare =
            Box::new(move |context: &Context, shared: &Shared| prepare(shared, context, chat));
        return idempotency::respond(shared, context, incoming, body, prepare).await;
    }
    if context.non_idempotent {
        let detail = "a non-idempotent request needs a header 'Idempotency-Key'";
        return Err(Failure::not_run(Reason::BadRequest, detail));
    }
    let job = prepare(&shared, &context, chat)?;
    execution::respond(shared, context, job).await
}

/// Plans the versions to try and takes the request from the workspace's quota.
fn prepare(shared: &Shared, context: &Context, chat: ChatRequest) -> Result<Job, Failure> {
    let plan = plan::plan_chat(shared, context, &chat)?;
    context.acquire_quota(shared)?;
    Ok(Job::Chat { chat, plan })
}
