//! Streamed answers from one version.

use std::sync::Arc;

use kernel::Failure;

use crate::answer::answer_stream::AnswerStream;
use crate::answer::billing::Billing;
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::deadline::with_deadline;
use crate::answer::finished_call::{CallReporter, FinishedCall};
use crate::answer::outcome::Answer;
use crate::answer::plan::ChatPlan;
use crate::answer::upstream_calls::{find_pool, start_stream, upstream_request};
use crate::state::shared::Shared;

/// Starts a streamed answer from the version of the first call.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: ChatRequest,
    plan: ChatPlan,
) -> Result<Answer, Failure> {
    let ChatPlan {
        first: call,
        policy,
        sample_share,
        planned_quality,
        arm,
        ..
    } = plan;
    let mut billing = Billing::new(shared.clone(), context);
    billing.set_arm(arm);
    let request = upstream_request(context, &chat, &call.version, true, 0, false);
    let pool = find_pool(context, &call.version)?;
    let reporter = CallReporter {
        policy,
        sample_share,
        planned_quality,
    };
    billing.record_run(&call.version.name, call.exposure_permit.is_some());
    let started = with_deadline(
        shared,
        context,
        start_stream(shared, context, pool, &request, Some(&call.version)),
    )
    .await;
    match started {
        Ok(started) => {
            let stream = AnswerStream::new(
                shared.clone(),
                context.clone(),
                call,
                reporter,
                billing,
                started,
            );
            Ok(Answer::Stream(Box::new(stream)))
        }
        Err(failure) => {
            reporter.send(shared, context, FinishedCall::failed(call));
            Err(billing.bill_failure(failure))
        }
    }
}
