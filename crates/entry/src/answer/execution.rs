//! Runs planned requests.

use std::sync::Arc;

use http_types::{Response, StatusCode};
use kernel::{Failure, Verdict};

use crate::answer::body::{Pipe, Sink, body_from_writer};
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::outcome::Answer;
use crate::answer::plan::ChatPlan;
use crate::answer::service_call::ServiceCall;
use crate::answer::{buffered, stream};
use crate::state::replay_buffer::{AnswerHead, ReplayBuffer};
use crate::state::shared::Shared;

/// The media type of complete answers.
pub(crate) const JSON: &str = "application/json";

/// The media type of streamed answers.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// A planned request.
pub(crate) enum Job {
    /// A chat completion.
    Chat {
        /// The decoded body.
        chat: ChatRequest,
        /// The planned calls.
        plan: ChatPlan,
    },
    /// A call to a plain service.
    Service(ServiceCall),
}

/// Runs a request for the one caller that waits for it. Dropping the response cancels the request.
pub(crate) async fn respond(
    shared: Arc<Shared>,
    context: Context,
    job: Job,
) -> Result<Response, Failure> {
    let context = Arc::new(context);
    let mut response = match run(&shared, &context, job).await? {
        Answer::Complete { bytes, version } => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(bytes);
            response.insert_header("content-type", JSON);
            response.insert_header("x-rosemary-version", &*version);
            response
        }
        Answer::Stream(stream) => {
            let pipe = Arc::new(Pipe::default());
            let sink = Sink::Pipe(pipe.clone());
            let version = stream.version_name();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body_from_writer(
                pipe,
                Box::pin(async move { stream.run(sink).await }),
            ));
            response.insert_header("content-type", EVENT_STREAM);
            response.insert_header("x-rosemary-version", &*version);
            response
        }
    };
    response.insert_header("x-rosemary-verdict", Verdict::Ran.as_str());
    response.insert_header("x-request-id", &*context.request_id);
    Ok(response)
}

/// Runs a request and stores its answer, whether or not a caller still waits.
pub(crate) async fn run_and_store(
    shared: Arc<Shared>,
    context: Arc<Context>,
    job: Job,
    buffer: Arc<ReplayBuffer>,
) {
    match run(&shared, &context, job).await {
        Ok(Answer::Complete { bytes, version }) => {
            buffer.append(&bytes);
            buffer.set_head(AnswerHead {
                content_type: JSON,
                version,
            });
            buffer.finish();
        }
        Ok(Answer::Stream(stream)) => {
            buffer.set_head(AnswerHead {
                content_type: EVENT_STREAM,
                version: stream.version_name(),
            });
            drop(stream.run(Sink::ReplayBuffer(buffer.clone())).await);
            buffer.finish();
        }
        Err(failure) => buffer.fail(failure),
    }
}

async fn run(shared: &Arc<Shared>, context: &Arc<Context>, job: Job) -> Result<Answer, Failure> {
    match job {
        Job::Service(call) => call.run(shared, context).await,
        Job::Chat { chat, plan } if plan.escalation.is_none() && chat.stream => {
            stream::run(shared, context, chat, plan).await
        }
        Job::Chat { chat, plan } => buffered::run(shared, context, chat, plan).await,
    }
}
