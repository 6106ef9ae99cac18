//! Runs requests with an idempotency key at most once and stores their answers.
//!
//! The home of a request is the incarnation that alone may run it: the issuer of its identifier,
//! or the owner of the claim on its caller-supplied key.

use std::sync::Arc;

use http_types::Response;
use kernel::{Failure, Reason, RequestId, Verdict};
use web::IncomingRequest;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::claim::{self, Owner};
use crate::answer::context::Context;
use crate::answer::execution::{self, Job};
use crate::answer::forwarding;
use crate::state::key::{IdempotencyKey, ScopedKey};
use crate::state::keyed_requests::Reservation;
use crate::state::replay_buffer::ReplayBuffer;
use crate::state::shared::Shared;

/// The retry-after when another instance is the home of the key.
const OTHER_HOME_RETRY_MS: u64 = 100;

/// Plans a request after its key was acquired.
pub(crate) type Prepare = Box<dyn FnOnce(&Context, &Shared) -> Result<Job, Failure> + Send>;

/// Runs a request with a key if this instance is its home, and forwards it to its home otherwise.
pub(crate) async fn respond(
    shared: Arc<Shared>,
    context: Context,
    incoming: IncomingRequest,
    body: Vec<u8>,
    prepare: Prepare,
) -> Result<Response, Failure> {
    match context.key.clone() {
        Some(IdempotencyKey::Issued(id)) if id.home == shared.incarnation => {
            run_at_home(shared, context, incoming, body, id, prepare).await
        }
        Some(IdempotencyKey::Issued(id)) => {
            forwarding::to_home(&shared, &context, &incoming, body, id.home).await
        }
        Some(IdempotencyKey::CallerSupplied(key)) => {
            run_caller_supplied(shared, context, incoming, body, key, prepare).await
        }
        None => Err(Failure::not_run(
            Reason::BadRequest,
            "the request has no idempotency key",
        )),
    }
}

/// How far the clock of the instance that issued a prefix may be ahead.
const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// Refuses identifiers that are past their lifetime, since the records of their requests may be
/// dropped, and those issued in the future.
fn check_age(shared: &Shared, id: &RequestId) -> Result<(), Failure> {
    let now_ms = shared.clock.wall_ms();
    if id.issued_ms > now_ms + MAX_CLOCK_SKEW_MS {
        let detail = "the prefix of this identifier was issued in the future";
        return Err(Failure::not_run(Reason::StaleId, detail));
    }
    if id.issued_ms + shared.settings.id_lifetime_ms < now_ms {
        let detail =
            "this identifier is too old to determine whether its request ran; request a new prefix";
        return Err(Failure::may_have_run(Reason::StaleId, detail));
    }
    Ok(())
}

/// An acquired key whose request has not run yet.
struct AcquiredKey {
    name: ScopedKey,
    buffer: Arc<ReplayBuffer>,
}

/// Acquires a key, or returns the response to the earlier request with that key.
async fn acquire(
    shared: &Shared,
    context: &Context,
    incoming: &IncomingRequest,
    body: &[u8],
    key: &str,
    until_ms: u64,
) -> Result<Result<AcquiredKey, Response>, Failure> {
    let name = ScopedKey {
        workspace: context.workspace.name.clone(),
        key: key.into(),
    };
    let body_hash = xxh3_64(body) ^ xxh3_64(incoming.path().as_bytes());
    let now_ms = shared.clock.wall_ms();
    let answer_until_ms = now_ms + shared.settings.answer_keep_ms;
    match shared.keyed_requests.reserve(
        name.clone(),
        body_hash,
        now_ms,
        answer_until_ms,
        until_ms,
    )? {
        Reservation::Existing(buffer) => buffer.response().await.map(Err),
        Reservation::New(buffer) => Ok(Ok(AcquiredKey { name, buffer })),
    }
}

impl AcquiredKey {
    /// Fails the request without running it and releases the key.
    fn release(self, shared: &Shared, failure: &Failure) {
        self.buffer.fail(failure.clone());
        shared.keyed_requests.release(&self.name);
    }

    /// Runs the request to its end even if the caller disconnects, and answers the caller.
    async fn run(
        self,
        shared: Arc<Shared>,
        context: Context,
        prepare: Prepare,
    ) -> Result<Response, Failure> {
        let job = match prepare(&context, &shared) {
            Ok(job) => job,
            Err(failure) => {
                self.release(&shared, &failure);
                return Err(failure);
            }
        };
        let request = context.request_id.clone();
        let buffer = self.buffer.clone();
        let task = run_and_release(shared.clone(), Arc::new(context), job, self);
        shared.executor.spawn(task).detach();
        let mut response = buffer.response().await?;
        response.insert_header("x-request-id", &*request);
        Ok(response)
    }
}

async fn run_and_release(
    shared: Arc<Shared>,
    context: Arc<Context>,
    job: Job,
    acquired: AcquiredKey,
) {
    let AcquiredKey { name, buffer } = acquired;
    execution::run_and_store(shared.clone(), context, job, buffer.clone()).await;
    shared.keyed_requests.record_stored_bytes(buffer.len());
    if buffer
        .failure()
        .is_some_and(|failure| failure.verdict == Verdict::NotRun)
    {
        shared.keyed_requests.release(&name);
    }
}

/// Runs a request whose identifier was issued by this incarnation.
async fn run_at_home(
    shared: Arc<Shared>,
    context: Context,
    incoming: IncomingRequest,
    body: Vec<u8>,
    id: RequestId,
    prepare: Prepare,
) -> Result<Response, Failure> {
    check_age(&shared, &id)?;
    let until_ms = id.issued_ms + shared.settings.id_lifetime_ms + shared.settings.answer_keep_ms;
    match acquire(
        &shared,
        &context,
        &incoming,
        &body,
        &id.to_string(),
        until_ms,
    )
    .await?
    {
        Ok(acquired) => acquired.run(shared, context, prepare).await,
        Err(response) => Ok(response),
    }
}

/// Runs a request with a caller-supplied key if this incarnation claims the key in the object API.
async fn run_caller_supplied(
    shared: Arc<Shared>,
    context: Context,
    incoming: IncomingRequest,
    body: Vec<u8>,
    key: String,
    prepare: Prepare,
) -> Result<Response, Failure> {
    let until_ms =
        shared.clock.wall_ms() + shared.settings.id_lifetime_ms + shared.settings.answer_keep_ms;
    let acquired = match acquire(&shared, &context, &incoming, &body, &key, until_ms).await? {
        Ok(acquired) => acquired,
        Err(response) => return Ok(response),
    };
    match claim::acquire(&shared, &acquired.name).await {
        Ok(Owner::Local) => acquired.run(shared, context, prepare).await,
        Ok(Owner::Other(home)) => {
            let failure =
                Failure::may_have_run(Reason::StaleId, "another instance claimed this key; retry");
            acquired.release(&shared, &failure.retry_after_ms(OTHER_HOME_RETRY_MS));
            forwarding::to_home(&shared, &context, &incoming, body, home).await
        }
        Err(failure) => {
            acquired.release(&shared, &failure);
            Err(failure)
        }
    }
}
