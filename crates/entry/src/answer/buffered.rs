//! Answers that are read whole, cascades included.

use std::sync::Arc;

use kernel::{Failure, Reason, Verdict};
use policy::EscalatedAnswer;
use upstream::Completion;

use crate::answer::answer_stream::{self, AnswerStream};
use crate::answer::billing::Billing;
use crate::answer::call_report::{CallReport, CallReporter};
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::deadline::with_deadline;
use crate::answer::outcome::Answer;
use crate::answer::plan::{ChatPlan, PlannedCall};
use crate::answer::upstream_calls::{call, exchange, find_pool, is_still_permitted};
use crate::state::messages::Ending;
use crate::state::shared::Shared;

/// The whole answer of one call.
struct WholeAnswer {
    bytes: Vec<u8>,
    completion: Completion,
}

/// Runs a path whose answers are read whole, cascades included.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: ChatRequest,
    path: ChatPlan,
) -> Result<Answer, Failure> {
    let mut billing = Billing::new(shared.clone(), context);
    billing.set_arm(path.arm);
    let cascade = path.then.is_some();
    let reporter = CallReporter {
        policy: path.policy,
        sample_share: path.sample_share,
        planned: path.planned,
    };
    let first = complete(
        shared,
        context,
        &chat,
        &path.first,
        0,
        cascade,
        &mut billing,
    )
    .await;
    let answer = match first {
        Ok(answer) => answer,
        Err(failure) => {
            reporter.send(shared, context, CallReport::failed(path.first));
            return Err(billing.settle(failure));
        }
    };
    let first_name = path.first.version.name.clone();
    let first = CallReport::answered(path.first, &answer.completion, ending(context, &billing));
    let sure = |threshold: f64| answer.completion.confidence.unwrap_or(0.0) >= threshold;
    let wanted = path.then.filter(|(_, threshold)| !sure(*threshold));
    let Some((then, _)) =
        wanted.filter(|(leg, _)| is_still_permitted(shared, context, Some(&leg.version)))
    else {
        reporter.send(shared, context, first);
        return finish(billing, answer, first_name, chat.stream).await;
    };
    reporter.send(shared, context, first.not_last());
    match complete(shared, context, &chat, &then, 1, false, &mut billing).await {
        Ok(better) => {
            let name = then.version.name.clone();
            let confidence = answer.completion.confidence.unwrap_or(0.0);
            let end = CallReport::answered(then, &better.completion, ending(context, &billing));
            reporter.send(
                shared,
                context,
                end.after(EscalatedAnswer {
                    version: first_name,
                    confidence,
                }),
            );
            finish(billing, better, name, chat.stream).await
        }
        Err(failure) => {
            let verdict = failure.verdict.as_str();
            tracing::info!(request = %context.request_id, verdict, "cascade: second call failed, the first answer is kept");
            reporter.send(shared, context, CallReport::failed(then).not_last());
            billing.set_version(&first_name);
            finish(billing, answer, first_name, chat.stream).await
        }
    }
}

/// Runs one call and reads its whole answer.
async fn complete(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: &ChatRequest,
    leg: &PlannedCall,
    stage: u32,
    confidence: bool,
    billing: &mut Billing,
) -> Result<WholeAnswer, Failure> {
    let call = call(context, chat, &leg.version, false, stage, confidence);
    let pool = find_pool(context, &leg.version)?;
    let had_run = stage > 0;
    billing.record_run(&leg.version.name, leg.exposed.is_some());
    let exchange = exchange(shared, context, pool, &call, Some(&leg.version));
    let bytes = match with_deadline(shared, context, exchange).await {
        Ok(bytes) => bytes,
        Err(failure) => {
            if failure.verdict == Verdict::NotRun && !had_run {
                billing.record_not_run();
            }
            return Err(failure);
        }
    };
    let completion = Completion::parse(&bytes);
    let completion = completion.map_err(|err| {
        Failure::may_have_run(
            Reason::EndpointFailed,
            format!("the answer is faulty: {err}"),
        )
    })?;
    billing.add_usage(&leg.version, completion.usage.unwrap_or_default());
    Ok(WholeAnswer { bytes, completion })
}

fn ending(context: &Context, billing: &Billing) -> Ending {
    if billing.elapsed_ms() > context.workspace.objective.total_ms {
        Ending::Slow
    } else {
        Ending::Answered
    }
}

async fn finish(
    billing: Billing,
    answer: WholeAnswer,
    version: Arc<str>,
    as_stream: bool,
) -> Result<Answer, Failure> {
    billing.answered().await;
    if as_stream {
        let bytes = answer_stream::to_events(&answer.bytes);
        return Ok(Answer::Stream(Box::new(AnswerStream::ready(
            bytes, version,
        ))));
    }
    Ok(Answer::Complete {
        bytes: answer.bytes,
        version,
    })
}
