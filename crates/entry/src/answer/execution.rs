//! The run of a planned request.

use std::sync::Arc;

use http_types::{Response, StatusCode};
use kernel::{Failure, Verdict};

use crate::answer::body::{Pipe, Sink, written};
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::outcome::Answer;
use crate::answer::plan::ChatPlan;
use crate::answer::service::ServiceCall;
use crate::answer::{stream, whole};
use crate::state::replay_buffer::{AnswerHead, ReplayBuffer};
use crate::state::shared::Shared;

/// The media type of whole answers.
pub(crate) const JSON: &str = "application/json";

/// The media type of streamed answers.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// A planned request.
pub(crate) enum Job {
    /// A chat completion.
    Chat {
        /// The request.
        chat: ChatRequest,
        /// The planned calls.
        plan: ChatPlan,
    },
    /// A call of a plain service.
    Service(ServiceCall),
}

/// Runs a request for the one caller that waits for it; a vanished caller cancels it.
pub(crate) async fn respond(
    shared: Arc<Shared>,
    context: Context,
    job: Job,
) -> Result<Response, Failure> {
    let context = Arc::new(context);
    let mut response = match run(&shared, &context, job).await? {
        Answer::Whole { bytes, version } => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(bytes);
            response.insert_header("content-type", JSON);
            response.insert_header("x-rosemary-version", &*version);
            response
        }
        Answer::Stream(pump) => {
            let pipe = Arc::new(Pipe::default());
            let sink = Sink::Pipe(pipe.clone());
            let version = pump.version_name();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(written(pipe, Box::pin(async move { pump.run(sink).await })));
            response.insert_header("content-type", EVENT_STREAM);
            response.insert_header("x-rosemary-version", &*version);
            response
        }
    };
    response.insert_header("x-rosemary-verdict", Verdict::Ran.as_str());
    response.insert_header("x-request-id", &*context.request);
    Ok(response)
}

/// Runs a request onto a tape, whether or not a caller still waits.
pub(crate) async fn record(
    shared: Arc<Shared>,
    context: Arc<Context>,
    job: Job,
    tape: Arc<ReplayBuffer>,
) {
    match run(&shared, &context, job).await {
        Ok(Answer::Whole { bytes, version }) => {
            tape.append(&bytes);
            tape.set_head(AnswerHead {
                content_type: JSON,
                version,
            });
            tape.finish();
        }
        Ok(Answer::Stream(pump)) => {
            tape.set_head(AnswerHead {
                content_type: EVENT_STREAM,
                version: pump.version_name(),
            });
            drop(pump.run(Sink::Tape(tape.clone())).await);
            tape.finish();
        }
        Err(failure) => tape.fail(failure),
    }
}

async fn run(shared: &Arc<Shared>, context: &Arc<Context>, job: Job) -> Result<Answer, Failure> {
    match job {
        Job::Service(call) => call.run(shared, context).await,
        Job::Chat { chat, plan } if plan.then.is_none() && chat.stream => {
            stream::run(shared, context, chat, plan).await
        }
        Job::Chat { chat, plan } => whole::run(shared, context, chat, plan).await,
    }
}
