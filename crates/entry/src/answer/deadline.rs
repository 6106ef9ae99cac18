//! The deadline of a request.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use kernel::{Failure, Reason};
use smol::Timer;

use crate::answer::context::Context;
use crate::state::shared::Shared;

/// Runs a future until it ends or the deadline of the request passes.
pub(crate) async fn with_deadline<T>(
    shared: &Shared,
    context: &Context,
    future: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let Some(deadline_ms) = context.deadline_ms else {
        return future.await;
    };
    let remaining_ms = deadline_ms.saturating_sub(shared.clock.mono_ms());
    let expire = async {
        Timer::after(Duration::from_millis(remaining_ms)).await;
        Err(Failure::may_have_run(
            Reason::Deadline,
            "the deadline passed before the answer was complete",
        ))
    };
    future.or(expire).await
}
