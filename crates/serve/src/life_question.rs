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
use crate::life::{check_life, connect};
use crate::life_check::Life;
use crate::other_answers::{EndTime, goes_on};
use crate::peer_choice::peer_addrs;
use crate::request_context::RequestContext;

const QUESTION_FIELD: &str = "Rosemary-Life";

/// Set by a peer to which an endpoint with the identifier has answered, for builds that know no more.
const PROOF_FIELD: &str = "Rosemary-Life-Proof";

/// What a peer knows of the run itself, if it lives.
const RUN_FIELD: &str = "Rosemary-Life-Run";

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
    /// Its run lives, and refuses their connections too.
    Lives,
    /// Its run answers one of them, which could open a connection.
    Reached,
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
    /// How long ago the run was known to be there, in milliseconds.
    alive_ms_ago: Option<u64>,
}

/// What a peer knows of a run that lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LifeProof {
    /// For how long the run that shows this is known to have been there, in microseconds, if only that tells it
    /// from a later one.
    age_us: Option<u64>,
    /// Whether the peer could open a connection to it.
    is_reached: bool,
}

impl LifeProof {
    /// Returns what this shows of a run that was there some time ago.
    fn finding(self, alive_ago: Duration) -> Finding {
        let age = self.age_us.map(Duration::from_micros);
        match self.is_reached {
            _ if age.is_some_and(|age| age <= alive_ago) => Finding::Unknown,
            true => Finding::Reached,
            false => Finding::Lives,
        }
    }
}

/// Asks peers whether an endpoint lives.
pub(crate) async fn ask_peers(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    end: EndTime,
    deadline: Instant,
) -> Finding {
    let question = LifeQuestion {
        endpoint: endpoint.id.to_string(),
        started_ms: endpoint.started_ms,
        addr: endpoint.addr,
        alive_ms_ago: Some(end.alive_at.elapsed().as_millis() as u64),
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
        ask_peer(endpoint, peers.next(), &bytes, end, until),
        ask_peer(endpoint, peers.next(), &bytes, end, until),
    );
    let (first, second) = answers.await;
    first.max(second)
}

/// Asks one peer, if there is one.
async fn ask_peer(
    endpoint: &Endpoint,
    addr: Option<SocketAddr>,
    question: &[u8],
    end: EndTime,
    until: Instant,
) -> Finding {
    let Some(addr) = addr else {
        return Finding::Unknown;
    };
    let answer = Exchange::start(addr, until, until, "GET", question, &Bytes::new()).await;
    let mut head = match answer {
        Ok((_, head)) => head,
        Err(err) => {
            tracing::info!(%addr, error = %err, "life: no answer of a peer");
            return Finding::Unknown;
        }
    };
    let status = head.status;
    // Builds before this one vouch for the run that has the identifier by now.
    let proof: Option<LifeProof> = take(RUN_FIELD, &mut head.headers);
    tracing::info!(endpoint = &*endpoint.id, %addr, status, ?proof, "life: answer of a peer");
    match (status, proof) {
        (LIVES, Some(proof)) => proof.finding(end.alive_at.elapsed()),
        (ENDED, _) => Finding::Ended,
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
    let now = Instant::now();
    let alive_ago = Duration::from_millis(question.alive_ms_ago.unwrap_or_default());
    let end = EndTime {
        ended_ms: asked_ms,
        alive_at: now.checked_sub(alive_ago).unwrap_or(now),
        ended_calls: 0,
    };
    let sign = check_life(context, endpoint, &state, end, until).await;
    let since = match sign.life {
        Life::Answers => sign.since,
        Life::Replaced => return Some(Response::new(ENDED)),
        _ => match goes_on(context, &state, end, until).await {
            Some(sign) => sign.since,
            None => return Some(Response::new(UNKNOWN)),
        },
    };
    if since.is_some() && question.alive_ms_ago.is_none() {
        // A build before this one does not compare how long the run is known.
        return Some(Response::new(UNKNOWN));
    }
    let is_reached = connect(context, endpoint, &state).await.is_ok();
    let proof = LifeProof {
        age_us: since.map(|since| since.elapsed().as_micros() as u64),
        is_reached,
    };
    let mut response = Response::new(LIVES).header(PROOF_FIELD, "1");
    set(&proof, RUN_FIELD, &mut response.headers);
    Some(response)
}
