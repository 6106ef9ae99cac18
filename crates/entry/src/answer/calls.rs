//! Calls on versions, tried again while that is safe.

use std::sync::Arc;

use catalog::Version;
use kernel::{Failure, Reason, Verdict};
use upstream::{Event, EventReader, PoolState, UpstreamRequest, UpstreamResponse};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::state::shared::Shared;

/// The most tries of an idempotent call whose answer broke off before it was handed on.
const MAX_TRIES: u32 = 2;

/// Finds the pool of a version.
pub(crate) fn pool_of<'a>(
    context: &'a Context,
    version: &Version,
) -> Result<&'a Arc<PoolState>, Failure> {
    let pool = context.view.pools.get(&version.pool);
    pool.ok_or_else(|| {
        let detail = format!("version '{}' has no pool '{}'", version.name, version.pool);
        Failure::not_run(Reason::NoEndpoint, detail).retry_after_ms(1_000)
    })
}

/// Makes the call of a chat request on a version.
pub(crate) fn call(
    context: &Context,
    chat: &ChatRequest,
    version: &Version,
    stream: bool,
    stage: u32,
    confidence: bool,
) -> UpstreamRequest {
    let body = chat.engine_body(&version.name, context.priority.rank(), stream, confidence);
    let affinity = match &context.session {
        Some(session) => format!("{}/{}", session.workspace, session.expires_ms),
        None => chat.prefix().to_owned(),
    };
    UpstreamRequest::builder("/v1/chat/completions", body, context.request.clone())
        .priority(context.priority)
        .idempotent(!context.non_idempotent)
        .deadline_ms(context.deadline_ms)
        .affinity(Some(xxh3_64(affinity.as_bytes())))
        .stage(stage)
        .build()
}

/// The start of a streamed answer.
pub(crate) struct Begun {
    /// The running call.
    pub(crate) started: UpstreamResponse,
    /// The reader of its events.
    pub(crate) events: EventReader,
    /// The first event.
    pub(crate) first: Event,
}

/// Starts a call and waits for its first event, trying again while nothing was handed on.
pub(crate) async fn begin_stream(
    shared: &Shared,
    context: &Context,
    pool: &PoolState,
    call: &UpstreamRequest,
    version: Option<&Version>,
) -> Result<Begun, Failure> {
    let mut tries = Tries::default();
    loop {
        let started = shared
            .dispatcher
            .dispatch(pool, call, context.view.instance_count())
            .await;
        let mut started = started.map_err(|failure| tries.join(failure))?;
        let mut events = EventReader::default();
        if let Ok(Some(first)) = events.next(&mut started).await {
            return Ok(Begun {
                started,
                events,
                first,
            });
        }
        started.fail();
        let failure = Failure::may_have_run(
            Reason::EndpointFailed,
            "the answer broke off before its first token",
        );
        tries.again(call, may_go_on(shared, context, version), failure)?;
    }
}

/// Starts a call and reads its whole answer, trying again while that is safe.
pub(crate) async fn exchange(
    shared: &Shared,
    context: &Context,
    pool: &PoolState,
    call: &UpstreamRequest,
    version: Option<&Version>,
) -> Result<Vec<u8>, Failure> {
    let mut tries = Tries::default();
    loop {
        let started = shared
            .dispatcher
            .dispatch(pool, call, context.view.instance_count())
            .await;
        let mut started = started.map_err(|failure| tries.join(failure))?;
        match started.read_all(shared.settings.max_answer_bytes).await {
            Ok(bytes) => return Ok(bytes),
            Err(failure) => tries.again(call, may_go_on(shared, context, version), failure)?,
        }
    }
}

/// Returns whether a version that was planned earlier may still get new work; services always may.
pub(crate) fn may_go_on(shared: &Shared, context: &Context, version: Option<&Version>) -> bool {
    let view = shared.view.load();
    version.is_none_or(|version| view.snapshot.permits(&context.workspace, &version.name))
}

/// The tries of one call that an endpoint began to answer.
#[derive(Debug, Default)]
struct Tries {
    broken: u32,
}

impl Tries {
    /// Notes an answer that broke off, and ends the call if it may not be tried again.
    fn again(
        &mut self,
        call: &UpstreamRequest,
        allowed: bool,
        failure: Failure,
    ) -> Result<(), Failure> {
        self.broken += 1;
        if self.broken < MAX_TRIES && allowed && call.is_idempotent() {
            Ok(())
        } else {
            Err(failure)
        }
    }

    /// Makes a later refusal say that an earlier try may have run.
    fn join(&self, failure: Failure) -> Failure {
        let earlier = if self.broken > 0 {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        Failure {
            verdict: failure.verdict.join(earlier),
            ..failure
        }
    }
}
