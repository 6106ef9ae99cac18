//! Asking peers whether an endpoint lives, of which this instance cannot be sure.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future::zip;
use relay::{Exchange, Headers, Request, RequestHead, Response};
use serde::{Deserialize, Serialize};

use crate::carry_message::{set, take};
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::life::check_life;
use crate::life_check::Life;
use crate::other_answers::goes_on;
use crate::peer_choice::peer_addrs;
use crate::request_context::RequestContext;

const QUESTION_FIELD: &str = "Rosemary-Life";

/// Set by a peer to which the run itself has answered.
const PROOF_FIELD: &str = "Rosemary-Life-Proof";

/// How long a peer has to answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// How long a peer checks an endpoint, so that its answer arrives in time.
const CHECK_TIME: Duration = Duration::from_millis(330);

/// The statuses of a peer's answer.
const LIVES: u16 = 204;
const UNKNOWN: u16 = 404;
const ENDED: u16 = 410;

/// What peers find of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Finding {
    Unknown,
    /// Its run answers one of them.
    Lives,
    /// Another run answers or is listed at its address.
    Ended,
}

/// What an instance asks a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LifeQuestion {
    /// Identifier of the endpoint.
    endpoint: String,
    /// Start of its run, in milliseconds since the Unix epoch, if it is known.
    started_ms: Option<u64>,
    /// Its address.
    addr: SocketAddr,
}

/// Asks peers whether an endpoint lives.
pub(crate) async fn ask_peers(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    deadline: Instant,
) -> Finding {
    let question = LifeQuestion {
        endpoint: endpoint.id.to_string(),
        started_ms: endpoint.started_ms,
        addr: endpoint.addr,
    };
    let mut headers = Headers::default();
    headers.push("Host", &*context.settings.name);
    set(&question, QUESTION_FIELD, &mut headers);
    let head = RequestHead {
        method: "GET".into(),
        target: "/".into(),
        minor_version: 1,
        headers,
    };
    let bytes = head.to_bytes();
    let mut peers = peer_addrs(&context.view(), context, state.shared_hash()).into_iter();
    let until = deadline.min(Instant::now() + ANSWER_TIME);
    // The second one answers if the first is cut off as well.
    let answers = zip(
        ask_peer(endpoint, peers.next(), &bytes, until),
        ask_peer(endpoint, peers.next(), &bytes, until),
    );
    let (first, second) = answers.await;
    first.max(second)
}

/// Asks one peer, if there is one.
async fn ask_peer(
    endpoint: &Endpoint,
    addr: Option<SocketAddr>,
    question: &[u8],
    until: Instant,
) -> Finding {
    let Some(addr) = addr else {
        return Finding::Unknown;
    };
    let answer = Exchange::start(addr, until, until, "GET", question, &Bytes::new()).await;
    let head = match answer {
        Ok((_, head)) => head,
        Err(err) => {
            tracing::info!(%addr, error = %err, "life: no answer of a peer");
            return Finding::Unknown;
        }
    };
    let status = head.status;
    tracing::info!(endpoint = &*endpoint.id, %addr, status, "life: answer of a peer");
    match status {
        // Builds before health checks vouch for an endpoint whose address keeps a connection.
        LIVES if head.headers.get(PROOF_FIELD).is_some() => Finding::Lives,
        ENDED => Finding::Ended,
        _ => Finding::Unknown,
    }
}

/// Answers the question of a peer, or returns `None` if the request holds none.
pub(crate) async fn answer(context: &RequestContext, inbound: &mut Request) -> Option<Response> {
    let question: LifeQuestion = take(QUESTION_FIELD, &mut inbound.head.headers)?;
    let view = context.view();
    if view.has_successor(question.addr, question.started_ms) {
        return Some(Response::new(ENDED));
    }
    let found = view
        .endpoints()
        .find(|found| *found.id == *question.endpoint && found.started_ms == question.started_ms);
    let Some(endpoint) = found else {
        return Some(Response::new(UNKNOWN));
    };
    let state = context.endpoint_states.of(endpoint);
    let until = Instant::now() + CHECK_TIME;
    let asked_ms = context.now_ms();
    let found = check_life(context, endpoint, &state, 0, until).await;
    let lives = match found {
        Life::Answers => true,
        Life::Replaced => return Some(Response::new(ENDED)),
        _ => goes_on(context, &state, asked_ms, 0, until).await,
    };
    let response = if lives {
        Response::new(LIVES).header(PROOF_FIELD, "1")
    } else {
        Response::new(UNKNOWN)
    };
    Some(response)
}
