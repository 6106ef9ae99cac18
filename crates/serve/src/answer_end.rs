//! Whether an answer that ended with its connection is complete.

use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use relay::Exchange;

use crate::active_request::ActiveRequest;
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::life::{LifeError, check_life};
use crate::life_question::{Finding, ask_peers};
use crate::request_context::RequestContext;

/// The silence after which an end is doubtful. Events are made many times a second.
pub(crate) const MIN_SILENCE: Duration = Duration::from_millis(500);

/// How long after the end of an answer bytes may be read that its endpoint sent before, in milliseconds: an
/// instance that is short of processor time reads its other connections late.
const LATE_BYTES_MS: u64 = 250;

/// How long bytes of other answers are waited for, in milliseconds. The caller has all but the end by then.
const MAX_PROOF_MS: u64 = 500;

const PROOF_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// What makes an end more or less doubtful.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Doubt {
    /// Whether a further run may tell whether the answer was whole, so that proof is not waited for.
    pub(crate) may_repeat: bool,
    /// Whether nothing of the answer arrived for a while shortly before its end. A cut, or a pause of this
    /// instance, may have hidden the end of the endpoint and the start of another.
    pub(crate) follows_silence: bool,
}

/// What is known of the end of an answer.
#[derive(Debug)]
pub(crate) enum AnswerEnd {
    /// The answer is complete.
    Whole,
    /// The answer may be complete or cut short.
    Doubtful(io::Error),
    /// The answer is cut short.
    CutShort(io::Error),
}

impl AnswerEnd {
    /// Returns an error unless the answer is known to be complete.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::UnexpectedEof`] if the answer may be cut short.
    pub(crate) fn check_whole(self) -> io::Result<()> {
        match self {
            AnswerEnd::Whole => Ok(()),
            AnswerEnd::Doubtful(err) | AnswerEnd::CutShort(err) => Err(err),
        }
    }
}

/// Judges whether an answer with neither length nor chunks is complete: it has a body, and its endpoint
/// outlived it.
///
/// A head that was cut short may end with a blank line and without the field that frames its body. The
/// kernel closes the connections of a process that ends as if the process had closed them, so that an
/// answer which it cuts short looks complete.
pub(crate) async fn judge_end(
    context: &RequestContext,
    request: &ActiveRequest,
    exchange: &Exchange,
    endpoint: &Endpoint,
    state: &EndpointState,
    doubt: Doubt,
) -> AnswerEnd {
    if !exchange.ends_with_connection() {
        return AnswerEnd::Whole;
    }
    if exchange.is_empty() {
        return AnswerEnd::CutShort(truncated("the answer has neither a length nor a body"));
    }
    judge_life(context, request, endpoint, state, doubt).await
}

/// Judges whether an endpoint outlived the end of a connection.
///
/// One that has ended refuses further connections, or does not keep them. A living one may do so too, while
/// it leaves, is full or cannot be reached by this instance, but peers reach it, or it goes on with other
/// answers. A later run at its address shows that it has ended.
pub(crate) async fn judge_life(
    context: &RequestContext,
    request: &ActiveRequest,
    endpoint: &Endpoint,
    state: &EndpointState,
    doubt: Doubt,
) -> AnswerEnd {
    let judged_at = Instant::now();
    let end = find_life(context, endpoint, state, doubt).await;
    tracing::info!(
        id = &*request.info.id,
        endpoint = &*endpoint.id,
        ?doubt,
        ?end,
        elapsed_ms = judged_at.elapsed().as_millis() as u64,
        "life: end of an answer"
    );
    end
}

async fn find_life(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    doubt: Doubt,
) -> AnswerEnd {
    let ended_ms = context.now_ms();
    let own = check_life(context, endpoint, state).await;
    tracing::info!(endpoint = &*endpoint.id, ?own, "life: check of an endpoint");
    if own.is_ok() && !doubt.follows_silence {
        return AnswerEnd::Whole;
    }
    let found = match own {
        Err(LifeError::Replaced) => Finding::Ended,
        _ => ask_peers(context, endpoint, state).await,
    };
    let err = match (found, own) {
        (Finding::Ended, _) => {
            let message = "a later run of an endpoint listens at the address";
            return AnswerEnd::CutShort(truncated(message));
        }
        (Finding::Unknown, Err(LifeError::Unreached(err))) => err,
        _ => return AnswerEnd::Whole,
    };
    let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
    if !(is_refused && doubt.may_repeat) && goes_on(context, state, ended_ms).await {
        return AnswerEnd::Whole;
    }
    AnswerEnd::Doubtful(truncated(&format!(
        "the endpoint may have ended with its answer: {err}"
    )))
}

/// Waits for bytes of other answers that an endpoint has sent after a time, in milliseconds.
async fn goes_on(context: &RequestContext, state: &EndpointState, ended_ms: u64) -> bool {
    let until_ms = ended_ms + MAX_PROOF_MS;
    // The call whose answer ended counts as well.
    while state.connections() > 1 && context.now_ms() < until_ms {
        if state.last_received_ms() >= ended_ms + LATE_BYTES_MS {
            return true;
        }
        Timer::after(PROOF_CHECK_INTERVAL).await;
    }
    false
}

fn truncated(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, message)
}
