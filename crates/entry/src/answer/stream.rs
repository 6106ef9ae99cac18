//! Streamed answers of one version.

use std::sync::Arc;

use kernel::Failure;

use crate::answer::answer_stream::AnswerStream;
use crate::answer::billing::Billing;
use crate::answer::call_report::{CallReport, CallReporter};
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::deadline::with_deadline;
use crate::answer::outcome::Answer;
use crate::answer::plan::ChatPlan;
use crate::answer::upstream_calls::{call, find_pool, start_stream};
use crate::state::shared::Shared;

/// Begins a streamed answer on the first version of the path.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    context: &Arc<Context>,
    chat: ChatRequest,
    path: ChatPlan,
) -> Result<Answer, Failure> {
    let ChatPlan {
        first: leg,
        policy,
        sample_share,
        planned,
        arm,
        ..
    } = path;
    let mut billing = Billing::new(shared.clone(), context);
    billing.set_arm(arm);
    let call = call(context, &chat, &leg.version, true, 0, false);
    let pool = find_pool(context, &leg.version)?;
    let reporter = CallReporter {
        policy,
        sample_share,
        planned,
    };
    billing.record_run(&leg.version.name, leg.exposed.is_some());
    let begun = with_deadline(
        shared,
        context,
        start_stream(shared, context, pool, &call, Some(&leg.version)),
    )
    .await;
    match begun {
        Ok(begun) => {
            let pump = AnswerStream::new(
                shared.clone(),
                context.clone(),
                leg,
                reporter,
                billing,
                begun,
            );
            Ok(Answer::Stream(Box::new(pump)))
        }
        Err(failure) => {
            reporter.send(shared, context, CallReport::failed(leg));
            Err(billing.settle(failure))
        }
    }
}
