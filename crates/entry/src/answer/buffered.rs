//! Answers that are read completely before they are sent, including those of cascades.

use std::sync::Arc;

use kernel::{Failure, Reason, Verdict};
use policy::EscalatedAnswer;
use upstream::Completion;

use crate::answer::answer_stream::{self, AnswerStream};
use crate::answer::billing::Billing;
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::deadline::with_deadline;
use crate::answer::finished_call::{CallReporter, FinishedCall};
use crate::answer::outcome::Answer;
use crate::answer::plan::{ChatPlan, PlannedCall};
use crate::answer::upstream_calls::{exchange, find_pool, is_still_permitted, upstream_request};
use crate::state::messages::CallOutcome;
use crate::state::shared::Shared;

/// The complete answer of one call.
struct CompleteAnswer {
    bytes: Vec<u8>,
    completion: Completion,
}

/// Runs the planned calls, reading each answer completely.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: ChatRequest,
    plan: ChatPlan,
) -> Result<Answer, Failure> {
    let mut billing = Billing::new(shared.clone(), context);
    billing.set_arm(plan.arm);
    let cascade = plan.escalation.is_some();
    let reporter = CallReporter {
        policy: plan.policy,
        sample_share: plan.sample_share,
        planned_quality: plan.planned_quality,
    };
    let first = complete(
        shared,
        context,
        &chat,
        &plan.first,
        0,
        cascade,
        &mut billing,
    )
    .await;
    let answer = match first {
        Ok(answer) => answer,
        Err(failure) => {
            reporter.send(shared, context, FinishedCall::failed(plan.first));
            return Err(billing.bill_failure(failure));
        }
    };
    let first_name = plan.first.version.name.clone();
    let first = FinishedCall::answered(plan.first, &answer.completion, outcome(context, &billing));
    let is_confident = |threshold: f64| answer.completion.confidence.unwrap_or(0.0) >= threshold;
    let escalation = plan
        .escalation
        .filter(|(_, threshold)| !is_confident(*threshold));
    let Some((second, _)) =
        escalation.filter(|(call, _)| is_still_permitted(shared, context, Some(&call.version)))
    else {
        reporter.send(shared, context, first);
        return finish(billing, answer, first_name, chat.stream).await;
    };
    reporter.send(shared, context, first.superseded());
    match complete(shared, context, &chat, &second, 1, false, &mut billing).await {
        Ok(second_answer) => {
            let name = second.version.name.clone();
            let confidence = answer.completion.confidence.unwrap_or(0.0);
            let finished = FinishedCall::answered(
                second,
                &second_answer.completion,
                outcome(context, &billing),
            );
            reporter.send(
                shared,
                context,
                finished.escalated_from(EscalatedAnswer {
                    version: first_name,
                    confidence,
                }),
            );
            finish(billing, second_answer, name, chat.stream).await
        }
        Err(failure) => {
            let verdict = failure.verdict.as_str();
            tracing::info!(request = %context.request_id, verdict, "cascade: second call failed, returning the first answer");
            reporter.send(shared, context, FinishedCall::failed(second).superseded());
            billing.set_version(&first_name);
            finish(billing, answer, first_name, chat.stream).await
        }
    }
}

/// Runs one call and reads its complete answer.
async fn complete(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: &ChatRequest,
    call: &PlannedCall,
    stage: u32,
    confidence: bool,
    billing: &mut Billing,
) -> Result<CompleteAnswer, Failure> {
    let request = upstream_request(context, chat, &call.version, false, stage, confidence);
    let pool = find_pool(context, &call.version)?;
    let may_have_run_before = stage > 0;
    billing.record_run(&call.version.name, call.exposure_permit.is_some());
    let exchange = exchange(shared, context, pool, &request, Some(&call.version));
    let bytes = match with_deadline(shared, context, exchange).await {
        Ok(bytes) => bytes,
        Err(failure) => {
            if failure.verdict == Verdict::NotRun && !may_have_run_before {
                billing.record_not_run();
            }
            return Err(failure);
        }
    };
    let completion = Completion::parse(&bytes);
    let completion = completion.map_err(|err| {
        Failure::may_have_run(
            Reason::EndpointFailed,
            format!("the answer of the endpoint is invalid: {err}"),
        )
    })?;
    billing.add_usage(&call.version, completion.usage.unwrap_or_default());
    Ok(CompleteAnswer { bytes, completion })
}

fn outcome(context: &Context, billing: &Billing) -> CallOutcome {
    if billing.elapsed_ms() > context.workspace.objective.total_ms {
        CallOutcome::Slow
    } else {
        CallOutcome::Answered
    }
}

async fn finish(
    billing: Billing,
    answer: CompleteAnswer,
    version: Arc<str>,
    as_stream: bool,
) -> Result<Answer, Failure> {
    billing.answered().await;
    if as_stream {
        let bytes = answer_stream::to_events(&answer.bytes);
        return Ok(Answer::Stream(Box::new(AnswerStream::from_complete(
            bytes, version,
        ))));
    }
    Ok(Answer::Complete {
        bytes: answer.bytes,
        version,
    })
}
