//! Asking peers whether an endpoint lives, of which this instance cannot be sure.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use relay::{Exchange, Headers, Request, RequestHead, Response};
use serde::{Deserialize, Serialize};

use crate::carry_message::{set, take};
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::life::{Life, check_life};
use crate::peer_choice::peer_addrs;
use crate::request_context::RequestContext;

const QUESTION_FIELD: &str = "Rosemary-Life";

/// The most peers that are asked about one end: a second one in case that the first is cut off as well.
const MAX_PEERS: usize = 2;

/// How long a peer has to answer: several times the check that it makes.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// How long a peer checks an endpoint, so that its answer arrives in time.
const CHECK_TIME: Duration = Duration::from_millis(150);

/// The statuses of a peer's answer.
const LIVES: u16 = 204;
const UNKNOWN: u16 = 404;
const ENDED: u16 = 410;

/// What peers find of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// One of them reaches it.
    Lives,
    /// Another run answers or is listed at its address.
    Ended,
    Unknown,
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
    let peers = peer_addrs(&context.view(), context, state.shared_hash());
    for addr in peers.into_iter().take(MAX_PEERS) {
        let until = Instant::now() + ANSWER_TIME;
        let answer = Exchange::start(addr, until, until, "GET", &bytes, &Bytes::new()).await;
        let status = match answer {
            Ok((_, head)) => head.status,
            Err(err) => {
                tracing::info!(%addr, error = %err, "life: no answer of a peer");
                continue;
            }
        };
        tracing::info!(endpoint = &*endpoint.id, %addr, status, "life: answer of a peer");
        match status {
            LIVES => return Finding::Lives,
            ENDED => return Finding::Ended,
            _ => {}
        }
    }
    Finding::Unknown
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
    let status = match check_life(context, endpoint, &state, until).await {
        Life::Answers | Life::KeepsConnection => LIVES,
        Life::Replaced => ENDED,
        Life::RefusesConnection | Life::ClosesConnection | Life::NoAnswer | Life::NoConnection => {
            UNKNOWN
        }
    };
    Some(Response::new(status))
}
