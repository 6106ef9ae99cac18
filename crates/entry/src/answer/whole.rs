//! Answers that are read whole, cascades included.

use std::sync::Arc;

use kernel::{Failure, Reason, Verdict};
use policy::EscalatedAnswer;
use upstream::Completion;

use crate::answer::billing::Billing;
use crate::answer::calls::{call, exchange, may_go_on, pool_of};
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::deadline::within;
use crate::answer::outcome::Answer;
use crate::answer::plan::{ChatPlan, Leg};
use crate::answer::pump::{self, Pump};
use crate::answer::teach::{CallEnd, Teacher};
use crate::state::messages::CallOutcome;
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
    billing.in_arm(path.arm);
    let cascade = path.then.is_some();
    let teacher = Teacher {
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
            teacher.teach(shared, context, CallEnd::failed(path.first));
            return Err(billing.settle(failure));
        }
    };
    let first_name = path.first.version.name.clone();
    let first = CallEnd::answered(path.first, &answer.completion, ending(context, &billing));
    let sure = |threshold: f64| answer.completion.confidence.unwrap_or(0.0) >= threshold;
    let wanted = path.then.filter(|(_, threshold)| !sure(*threshold));
    let Some((then, _)) = wanted.filter(|(leg, _)| may_go_on(shared, context, Some(&leg.version)))
    else {
        teacher.teach(shared, context, first);
        return finish(billing, answer, first_name, chat.stream).await;
    };
    teacher.teach(shared, context, first.not_last());
    match complete(shared, context, &chat, &then, 1, false, &mut billing).await {
        Ok(better) => {
            let name = then.version.name.clone();
            let confidence = answer.completion.confidence.unwrap_or(0.0);
            let end = CallEnd::answered(then, &better.completion, ending(context, &billing));
            teacher.teach(
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
            tracing::info!(request = %context.request, verdict, "cascade: second call failed, the first answer is kept");
            teacher.teach(shared, context, CallEnd::failed(then).not_last());
            billing.answered_by(&first_name);
            finish(billing, answer, first_name, chat.stream).await
        }
    }
}

/// Runs one call and reads its whole answer.
async fn complete(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: &ChatRequest,
    leg: &Leg,
    stage: u32,
    confidence: bool,
    billing: &mut Billing,
) -> Result<WholeAnswer, Failure> {
    let call = call(context, chat, &leg.version, false, stage, confidence);
    let pool = pool_of(context, &leg.version)?;
    let had_run = stage > 0;
    billing.runs_on(&leg.version.name, leg.exposed.is_some());
    let exchange = exchange(shared, context, pool, &call, Some(&leg.version));
    let bytes = match within(shared, context, exchange).await {
        Ok(bytes) => bytes,
        Err(failure) => {
            if failure.verdict == Verdict::NotRun && !had_run {
                billing.did_not_run();
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
    billing.add(&leg.version, completion.usage.unwrap_or_default());
    Ok(WholeAnswer { bytes, completion })
}

fn ending(context: &Context, billing: &Billing) -> CallOutcome {
    if billing.elapsed_ms() > context.workspace.objective.total_ms {
        CallOutcome::Slow
    } else {
        CallOutcome::Answered
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
        let bytes = pump::as_events(&answer.bytes);
        return Ok(Answer::Stream(Box::new(Pump::ready(bytes, version))));
    }
    Ok(Answer::Whole {
        bytes: answer.bytes,
        version,
    })
}
