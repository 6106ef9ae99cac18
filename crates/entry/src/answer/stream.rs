//! Streamed answers of one version.

use std::sync::Arc;

use kernel::Failure;

use crate::answer::billing::Billing;
use crate::answer::calls::{begin_stream, call, pool_of};
use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::answer::deadline::within;
use crate::answer::outcome::Answer;
use crate::answer::plan::ChatPlan;
use crate::answer::pump::Pump;
use crate::answer::teach::{CallEnd, Teacher};
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
    billing.in_arm(arm);
    let call = call(context, &chat, &leg.version, true, 0, false);
    let pool = pool_of(context, &leg.version)?;
    let teacher = Teacher {
        policy,
        sample_share,
        planned,
    };
    billing.runs_on(&leg.version.name, leg.exposed.is_some());
    let begun = within(
        shared,
        context,
        begin_stream(shared, context, pool, &call, Some(&leg.version)),
    )
    .await;
    match begun {
        Ok(begun) => {
            let pump = Pump::new(
                shared.clone(),
                context.clone(),
                leg,
                teacher,
                billing,
                begun,
            );
            Ok(Answer::Stream(Box::new(pump)))
        }
        Err(failure) => {
            teacher.teach(shared, context, CallEnd::failed(leg));
            Err(billing.settle(failure))
        }
    }
}
