//! Requests that carry a key are run once, and their answer is kept.

use std::sync::Arc;

use http_types::Response;
use kernel::{Failure, Reason, RequestId, Verdict};
use web::IncomingRequest;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::claim::{self, Owner};
use crate::answer::context::Context;
use crate::answer::execution::{self, Job};
use crate::answer::forward;
use crate::state::key::{IdempotencyKey, ScopedKey};
use crate::state::keyed_requests::Reservation;
use crate::state::replay_buffer::ReplayBuffer;
use crate::state::shared::Shared;

/// The moment to ask again when a key turns out to be another instance's, in milliseconds.
const ELSEWHERE_RETRY_MS: u64 = 100;

/// Plans a request after its key was taken.
pub(crate) type Prepare = Box<dyn FnOnce(&Context, &Shared) -> Result<Job, Failure> + Send>;

/// Answers a keyed request: at its home it runs once, elsewhere it is sent on.
pub(crate) async fn respond(
    shared: Arc<Shared>,
    context: Context,
    incoming: IncomingRequest,
    body: Vec<u8>,
    prepare: Prepare,
) -> Result<Response, Failure> {
    match context.key.clone() {
        Some(IdempotencyKey::Issued(id)) if id.home == shared.incarnation => {
            at_home(shared, context, incoming, body, id, prepare).await
        }
        Some(IdempotencyKey::Issued(id)) => {
            forward::to_home(&shared, &context, &incoming, body, id.home).await
        }
        Some(IdempotencyKey::CallerSupplied(key)) => {
            foreign(shared, context, incoming, body, key, prepare).await
        }
        None => Err(Failure::not_run(
            Reason::BadRequest,
            "the request has no key",
        )),
    }
}

/// How far the clock of the instance that issued a prefix may be ahead, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// Refuses identifiers that are older than the memory of keys, or not yet issued.
fn check_age(shared: &Shared, id: &RequestId) -> Result<(), Failure> {
    let now_ms = shared.clock.wall_ms();
    if id.issued_ms > now_ms + MAX_CLOCK_SKEW_MS {
        let detail = "this identifier's prefix was issued in the future";
        return Err(Failure::not_run(Reason::StaleId, detail));
    }
    if id.issued_ms + shared.settings.id_lifetime_ms < now_ms {
        let detail =
            "this identifier is too old to tell whether its request ran; ask for a new prefix";
        return Err(Failure::may_have_run(Reason::StaleId, detail));
    }
    Ok(())
}

/// A key that was taken and whose request is still to run.
struct Taken {
    name: ScopedKey,
    tape: Arc<ReplayBuffer>,
}

/// Takes a key, or returns the response to the request that it was taken for.
async fn take(
    shared: &Shared,
    context: &Context,
    incoming: &IncomingRequest,
    body: &[u8],
    key: &str,
    until_ms: u64,
) -> Result<Result<Taken, Response>, Failure> {
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
        Reservation::Existing(tape) => tape.response().await.map(Err),
        Reservation::New(tape) => Ok(Ok(Taken { name, tape })),
    }
}

impl Taken {
    /// Ends the request without a run and frees the key.
    fn give_back(self, shared: &Shared, failure: &Failure) {
        self.tape.fail(failure.clone());
        shared.keyed_requests.release(&self.name);
    }

    /// Runs the request to its end, whether or not its caller stays, and answers the caller.
    async fn run(
        self,
        shared: Arc<Shared>,
        context: Context,
        prepare: Prepare,
    ) -> Result<Response, Failure> {
        let job = match prepare(&context, &shared) {
            Ok(job) => job,
            Err(failure) => {
                self.give_back(&shared, &failure);
                return Err(failure);
            }
        };
        let request = context.request.clone();
        let tape = self.tape.clone();
        let task = record(shared.clone(), Arc::new(context), job, self);
        shared.executor.spawn(task).detach();
        let mut response = tape.response().await?;
        response.insert_header("x-request-id", &*request);
        Ok(response)
    }
}

async fn record(shared: Arc<Shared>, context: Arc<Context>, job: Job, taken: Taken) {
    let Taken { name, tape } = taken;
    execution::record(shared.clone(), context, job, tape.clone()).await;
    shared.keyed_requests.record_stored_bytes(tape.len());
    if tape
        .failure()
        .is_some_and(|failure| failure.verdict == Verdict::NotRun)
    {
        shared.keyed_requests.release(&name);
    }
}

/// Runs a request under an identifier that this incarnation issued.
async fn at_home(
    shared: Arc<Shared>,
    context: Context,
    incoming: IncomingRequest,
    body: Vec<u8>,
    id: RequestId,
    prepare: Prepare,
) -> Result<Response, Failure> {
    check_age(&shared, &id)?;
    let until_ms = id.issued_ms + shared.settings.id_lifetime_ms + shared.settings.answer_keep_ms;
    match take(
        &shared,
        &context,
        &incoming,
        &body,
        &id.to_string(),
        until_ms,
    )
    .await?
    {
        Ok(taken) => taken.run(shared, context, prepare).await,
        Err(response) => Ok(response),
    }
}

/// Runs a request under a key of the caller's own making, once the key is claimed in the object API.
async fn foreign(
    shared: Arc<Shared>,
    context: Context,
    incoming: IncomingRequest,
    body: Vec<u8>,
    key: String,
    prepare: Prepare,
) -> Result<Response, Failure> {
    let until_ms =
        shared.clock.wall_ms() + shared.settings.id_lifetime_ms + shared.settings.answer_keep_ms;
    let taken = match take(&shared, &context, &incoming, &body, &key, until_ms).await? {
        Ok(taken) => taken,
        Err(response) => return Ok(response),
    };
    match claim::take(&shared, &taken.name).await {
        Ok(Owner::Me) => taken.run(shared, context, prepare).await,
        Ok(Owner::Other(home)) => {
            let elsewhere = Failure::may_have_run(
                Reason::StaleId,
                "this key belongs to another instance; ask again",
            );
            taken.give_back(&shared, &elsewhere.retry_after_ms(ELSEWHERE_RETRY_MS));
            forward::to_home(&shared, &context, &incoming, body, home).await
        }
        Err(failure) => {
            taken.give_back(&shared, &failure);
            Err(failure)
        }
    }
}
