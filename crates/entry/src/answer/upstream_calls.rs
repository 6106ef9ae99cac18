//! Calls to versions and services, retried while that is safe.

use std::sync::Arc;

use catalog::Version;
use kernel::{Failure, Reason, Verdict};
use upstream::{Event, EventReader, PoolState, UpstreamRequest, UpstreamResponse};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::state::shared::Shared;

/// The number of attempts at an idempotent call whose answer broke off before any of it was used.
const MAX_ATTEMPTS: u32 = 2;

/// Returns the pool of a version.
pub(crate) fn find_pool<'a>(
    context: &'a Context,
    version: &Version,
) -> Result<&'a Arc<PoolState>, Failure> {
    let pool = context.view.pools.get(&version.pool);
    pool.ok_or_else(|| {
        let detail = format!("version '{}' has no pool '{}'", version.name, version.pool);
        Failure::not_run(Reason::NoEndpoint, detail).retry_after_ms(1_000)
    })
}

/// Builds the upstream request of a chat request to a version.
pub(crate) fn upstream_request(
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
    UpstreamRequest::builder("/v1/chat/completions", body, context.request_id.clone())
        .priority(context.priority)
        .idempotent(!context.non_idempotent)
        .deadline_ms(context.deadline_ms)
        .affinity(Some(xxh3_64(affinity.as_bytes())))
        .stage(stage)
        .build()
}

/// A streamed answer whose first event was received.
pub(crate) struct StartedStream {
    /// The open response.
    pub(crate) response: UpstreamResponse,
    /// The event reader of the response.
    pub(crate) events: EventReader,
    /// The first event.
    pub(crate) first_event: Event,
}

/// Starts a call and waits for its first event, retrying an idempotent call that breaks off before.
pub(crate) async fn start_stream(
    shared: &Shared,
    context: &Context,
    pool: &PoolState,
    request: &UpstreamRequest,
    version: Option<&Version>,
) -> Result<StartedStream, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let response = shared
            .dispatcher
            .dispatch(pool, request, context.view.instance_count())
            .await;
        let mut response = response.map_err(|failure| attempts.with_earlier_verdict(failure))?;
        let mut events = EventReader::default();
        if let Ok(Some(first_event)) = events.next(&mut response).await {
            return Ok(StartedStream {
                response,
                events,
                first_event,
            });
        }
        response.fail();
        let failure = Failure::may_have_run(
            Reason::EndpointFailed,
            "the answer broke off before its first token",
        );
        attempts.retry_or_fail(
            request,
            is_still_permitted(shared, context, version),
            failure,
        )?;
    }
}

/// Runs a call and reads its complete answer, retrying an idempotent call that breaks off.
pub(crate) async fn exchange(
    shared: &Shared,
    context: &Context,
    pool: &PoolState,
    request: &UpstreamRequest,
    version: Option<&Version>,
) -> Result<Vec<u8>, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let response = shared
            .dispatcher
            .dispatch(pool, request, context.view.instance_count())
            .await;
        let mut response = response.map_err(|failure| attempts.with_earlier_verdict(failure))?;
        match response.read_all(shared.settings.max_answer_bytes).await {
            Ok(bytes) => return Ok(bytes),
            Err(failure) => attempts.retry_or_fail(
                request,
                is_still_permitted(shared, context, version),
                failure,
            )?,
        }
    }
}

/// Returns whether the workspace may still use a planned version. Services are always permitted.
pub(crate) fn is_still_permitted(
    shared: &Shared,
    context: &Context,
    version: Option<&Version>,
) -> bool {
    let view = shared.view.load();
    version.is_none_or(|version| view.snapshot.permits(&context.workspace, &version.name))
}

/// The attempts at one call that an endpoint started to answer.
#[derive(Debug, Default)]
struct Attempts {
    broken_off: u32,
}

impl Attempts {
    /// Records an answer that broke off, and returns the failure if the call may not be retried.
    fn retry_or_fail(
        &mut self,
        request: &UpstreamRequest,
        is_permitted: bool,
        failure: Failure,
    ) -> Result<(), Failure> {
        self.broken_off += 1;
        if self.broken_off < MAX_ATTEMPTS && is_permitted && request.is_idempotent() {
            Ok(())
        } else {
            Err(failure)
        }
    }

    /// Adds to the verdict of a failure that an earlier attempt may have run.
    fn with_earlier_verdict(&self, failure: Failure) -> Failure {
        let earlier = if self.broken_off > 0 {
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
