//! Whether an answer that ended with its connection is complete.

use std::io;
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use relay::Exchange;

use crate::active_request::ActiveRequest;
use crate::call_guard::CallGuard;
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::life::check_life;
use crate::life_check::Life;
use crate::life_question::{Finding, ask_peers};
use crate::other_answers::{EndTime, goes_on};
use crate::request_context::RequestContext;
use crate::run::Run;

/// The silence after which an end is doubtful. Events are made many times a second.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// How long the endpoint itself may take to prove that it lives. The caller has all but the end by then.
const REPEATABLE_PROOF_TIME: Duration = Duration::from_millis(500);

/// As above, if no further run can tell whether the answer was whole. Sound endpoints may fall silent for a
/// second, and callers wait for two.
const ONLY_PROOF_TIME: Duration = Duration::from_millis(1_200);

/// How long an endpoint must have had for an answer before its silence says anything of it.
const MIN_ASKING_TIME: Duration = Duration::from_millis(150);

/// Size of requests, in bytes, beyond which their endpoints may end an answer before they have read them.
const SHORT_REQUEST_BYTES: usize = 64 << 10;

/// How long an endpoint that has not read the request may take from the end of its answer to close the connection,
/// which resets it.
const RESET_TIME: Duration = Duration::from_millis(300);

/// The call whose answer ended is still counted.
const ENDED_CALLS: u32 = 1;

/// How long before the end of an answer new connections must have failed, in milliseconds, if the end is not
/// to be that of a path.
const MIN_CUT_MS: u64 = 250;

/// What makes an end more or less doubtful.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Doubt {
    /// Whether a further run may tell whether the answer was whole, so that proof is not waited for.
    pub(crate) may_repeat: bool,
    /// When the last bytes of the answer were read, in milliseconds.
    pub(crate) read_ms: u64,
    /// Until when its run is known to have been there.
    pub(crate) alive_at: Instant,
    /// Until when its connection is known to have been open.
    pub(crate) open_until: Instant,
    /// Whether nothing of the answer arrived for a while shortly before its end. A cut, or a pause of this
    /// instance, may have hidden the end of the endpoint and the start of another.
    pub(crate) follows_silence: bool,
}

impl Doubt {
    /// Creates the doubt about an answer that ends now.
    pub(crate) fn new(
        context: &RequestContext,
        exchange: &Exchange,
        call: &CallGuard,
        may_repeat: bool,
    ) -> Doubt {
        let ended_at = Instant::now();
        let read_times = exchange.read_times();
        let steady_until = read_times.steady_until(ended_at);
        // A caller may read so slowly that the end is met long after the run has ended.
        let open_until = read_times.open_until();
        let witness = &call.endpoint_state.witness;
        let lost_at = witness.lost_since(call.sent_at(), open_until);
        Doubt {
            may_repeat,
            read_ms: context.ms_at(read_times.last()),
            alive_at: lost_at.map_or(steady_until, |lost_at| lost_at.min(steady_until)),
            open_until,
            follows_silence: read_times.longest_gap(ended_at) >= MIN_SILENCE,
        }
    }

    fn proof_time(self) -> Duration {
        if self.may_repeat {
            REPEATABLE_PROOF_TIME
        } else {
            ONLY_PROOF_TIME
        }
    }
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
    request: &mut ActiveRequest,
    exchange: &Exchange,
    endpoint: &Endpoint,
    state: &EndpointState,
    doubt: Doubt,
) -> AnswerEnd {
    if !exchange.ends_with_connection() {
        return AnswerEnd::Whole;
    }
    if !exchange.is_request_sent() {
        return AnswerEnd::CutShort(truncated("the answer ended before the request was sent"));
    }
    if exchange.is_empty() {
        return AnswerEnd::CutShort(truncated("the answer has neither a length nor a body"));
    }
    if request.inbound.body.len() <= SHORT_REQUEST_BYTES {
        return judge_life(context, request, endpoint, state, doubt).await;
    }
    let judging = judge_life(context, request, endpoint, state, doubt);
    let (end, is_reset) = zip(judging, exchange.is_reset_within(RESET_TIME)).await;
    if is_reset {
        return AnswerEnd::CutShort(truncated(
            "the endpoint closed before it had read the request",
        ));
    }
    end
}

/// Judges whether an endpoint outlived the end of a connection.
///
/// A connection that is accepted does not show that, as another process may hold the listener, and one that
/// is refused does not show the contrary, as a living endpoint may leave, be full, or be out of reach for
/// this instance. So the run itself has to answer, here or to a peer, or to go on with other answers.
pub(crate) async fn judge_life(
    context: &RequestContext,
    request: &mut ActiveRequest,
    endpoint: &Endpoint,
    state: &EndpointState,
    doubt: Doubt,
) -> AnswerEnd {
    let judged_at = Instant::now();
    // Few answers end like this, so that the future of each request is not to hold what the check needs.
    let end = Box::pin(find_end(context, request, endpoint, state, doubt)).await;
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

/// Judges the end by the endpoint's own answer, then by what peers find, then by its other answers.
async fn find_end(
    context: &RequestContext,
    request: &mut ActiveRequest,
    endpoint: &Endpoint,
    state: &EndpointState,
    doubt: Doubt,
) -> AnswerEnd {
    let ended_at = Instant::now();
    let end = EndTime {
        ended_ms: context.now_ms(),
        alive_at: doubt.alive_at,
        ended_calls: ENDED_CALLS,
    };
    let until = request.deadline.min(ended_at + doubt.proof_time());
    let was_out_of_reach = was_out_of_reach(state, doubt);
    let sign = check_life(context, endpoint, state, end, until).await;
    let own = sign.life;
    let leaves = leaves(context, endpoint, state);
    // The witness may close a moment after the answer, and whatever shows the life of the run does not show that
    // the run ended the answer.
    let was_lost = state.witness.was_lost_with(doubt.open_until, ended_at);
    let has_lost_witness = was_lost && !sign.keeps_witness;
    // An idle connection that was kept until the end shows that the path was not cut before.
    let has_lost_path = has_lost_witness && !leaves;
    let wants_none = leaves || state.wanted_pause_ms(context.now_ms()) > 0;
    let explains_refusal = wants_none || (was_out_of_reach && !has_lost_witness);
    tracing::info!(
        id = &*request.info.id,
        endpoint = &*endpoint.id,
        started_ms = endpoint.started_ms,
        ?own,
        has_lost_path,
        explains_refusal,
        "life: check of an endpoint"
    );
    let seems_alive = own.seems_alive();
    if seems_alive && !has_lost_path && !doubt.follows_silence {
        return AnswerEnd::Whole;
    }
    let was_asked = own != Life::NoAnswer || ended_at.elapsed() >= MIN_ASKING_TIME;
    if !seems_alive && was_asked {
        // Peers are to learn in time what may have crashed it.
        request.record_end_of_endpoint(endpoint, state, end.ended_ms);
    }
    request.end_is_recorded = seems_alive || was_asked;
    let peers = match own {
        Life::Replaced => Finding::Ended,
        _ => ask_peers(context, endpoint, state, end, request.deadline).await,
    };
    tracing::info!(
        id = &*request.info.id,
        endpoint = &*endpoint.id,
        ?peers,
        "life: finding of peers"
    );
    match peers {
        Finding::Ended => {
            request.record_end_of_endpoint(endpoint, state, end.ended_ms);
            let message = "another run of an endpoint listens at the address";
            return AnswerEnd::CutShort(truncated(message));
        }
        Finding::Lives | Finding::Reached => {
            state.record_life(Some(context.now_ms()), context.now_ms());
        }
        Finding::Unknown => {}
    }
    match peers {
        // The run may live, so that the path may have ended the answer.
        _ if has_lost_path => return in_doubt(own),
        // Only the path of this instance is cut.
        Finding::Reached if own.is_unreached() && !explains_refusal => {}
        Finding::Reached | Finding::Lives => return AnswerEnd::Whole,
        _ if seems_alive => return AnswerEnd::Whole,
        _ => {}
    }
    // A connection that timed out says little, unless peers reach the run, and no further run can tell.
    let is_alone = peers == Finding::Unknown && !doubt.may_repeat;
    let mut latest = own;
    while latest == Life::NoConnection && is_alone {
        let sign = check_life(context, endpoint, state, end, until).await;
        latest = sign.life;
    }
    if latest.seems_alive() {
        return AnswerEnd::Whole;
    }
    let can_repeat_now = own == Life::RefusesConnection && doubt.may_repeat;
    if !can_repeat_now && goes_on(context, state, end, until).await.is_some() {
        state.record_life(Some(context.now_ms()), context.now_ms());
        return AnswerEnd::Whole;
    }
    in_doubt(own)
}

fn in_doubt(own: Life) -> AnswerEnd {
    AnswerEnd::Doubtful(truncated(&format!(
        "the endpoint may have ended with its answer: {own:?}"
    )))
}

/// Returns whether an endpoint leaves, so that it may refuse connections and close idle ones.
fn leaves(context: &RequestContext, endpoint: &Endpoint, state: &EndpointState) -> bool {
    let view = context.view();
    let run = Run::of(endpoint);
    let mut listed = view.endpoints().filter(|listed| Run::of(listed) == run);
    let is_draining = listed.next().is_none_or(|listed| listed.draining);
    is_draining || state.is_leaving()
}

/// Returns whether an endpoint had been out of reach for this instance while its answer went on.
fn was_out_of_reach(state: &EndpointState, doubt: Doubt) -> bool {
    let since_ms = state.out_of_reach_since_ms();
    since_ms.is_some_and(|since_ms| since_ms + MIN_CUT_MS <= doubt.read_ms)
}

fn truncated(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, message)
}
