//! Whether the run of an endpoint that sent an answer is still there, as its address and the registry show.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use relay::{Exchange, ExchangeError, timeout_at};

use crate::call_record::{record_connected, record_unreachable};
use crate::endpoint::Endpoint;
use crate::endpoint_protocol::Responder;
use crate::endpoint_state::EndpointState;
use crate::life_check::{Life, LifeCheck};
use crate::other_answers::goes_on;
use crate::outcome::Counters;
use crate::reach;
use crate::request_context::RequestContext;

/// How long an endpoint that is not asked has to keep a new connection open. The backlog of a process that
/// ends, or a proxy before it, may accept a connection and close it a moment later.
const KEPT_TIME: Duration = Duration::from_millis(30);

/// Checks whether the run of an endpoint is still there: it answers a health check, or goes on with other
/// answers. `ended_calls` of this instance's calls have ended and are still counted.
pub(crate) async fn check_life(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    ended_calls: u32,
    until: Instant,
) -> Life {
    let asked_ms = context.now_ms();
    let other_answers = async {
        if !goes_on(context, state, asked_ms, ended_calls, until).await {
            std::future::pending::<()>().await;
        }
        Life::Answers
    };
    let found = check_address(context, endpoint, state, until)
        .or(other_answers)
        .await;
    let view = context.view();
    if view.has_successor(endpoint.addr, endpoint.started_ms) {
        return Life::Replaced;
    }
    found
}

/// Checks what answers at the address of an endpoint. Answers that end together share a check that starts
/// after their ends.
async fn check_address(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    until: Instant,
) -> Life {
    let asked_at = Instant::now();
    let check = async {
        let mut latest = state.life_check.lock().await;
        if let Some(check) = *latest
            && check.replaces(asked_at, until)
        {
            return Ok(check.found);
        }
        let started_at = Instant::now();
        if started_at >= until {
            return Ok(Life::NoAnswer);
        }
        let found = ask(context, endpoint, state, until).await;
        *latest = Some(LifeCheck {
            started_at,
            until,
            found,
        });
        Ok(found)
    };
    timeout_at(until, check).await.unwrap_or(Life::NoAnswer)
}

/// Asks an endpoint for its health, or only connects to it if it wants no more requests.
async fn ask(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    until: Instant,
) -> Life {
    let now_ms = context.now_ms();
    let view = context.view();
    let table = view.table.as_ref();
    let service = table.and_then(|table| table.service(&endpoint.service));
    match service.filter(|_| state.try_acquire_check(endpoint, &view, now_ms)) {
        Some(service) => ask_health(context, endpoint, state, &service.health_path, until).await,
        None => match connect(context, endpoint, state).await {
            Ok(()) => Life::KeepsConnection,
            Err(err) => unreached(&err),
        },
    }
}

async fn ask_health(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    path: &str,
    until: Instant,
) -> Life {
    let opened_ms = context.now_ms();
    let protocol = &context.endpoint_protocol;
    let request = protocol.encode_health_check(endpoint, path);
    Counters::add(&context.counters.connections_for_health_checks);
    let timeout = Duration::from_millis(context.settings.connect_timeout_ms);
    let full_timeout = Instant::now() + timeout;
    let connect_until = until.min(full_timeout);
    let body = Bytes::new();
    let answer = Exchange::start(endpoint.addr, connect_until, until, "GET", &request, &body).await;
    let now_ms = context.now_ms();
    let head = match answer {
        Ok((_, head)) => head,
        Err(err) => {
            if err.sent {
                record_connected(endpoint, state, opened_ms);
            } else if connect_until == full_timeout {
                // Less than the usual time says nothing of the path.
                record_unreachable(endpoint, state, opened_ms, now_ms);
            }
            return unanswered(&err);
        }
    };
    record_connected(endpoint, state, opened_ms);
    let responder = protocol.decode_health(endpoint, &head);
    if responder == Responder::FullRun {
        state.record_full(now_ms);
    }
    match responder {
        Responder::Run | Responder::FullRun => {
            state.record_life(Some(opened_ms), now_ms);
            Life::Answers
        }
        Responder::OtherRun => Life::Replaced,
        Responder::Unknown => Life::NoAnswer,
    }
}

fn unanswered(err: &ExchangeError) -> Life {
    match err.source.kind() {
        io::ErrorKind::TimedOut if err.sent => Life::NoAnswer,
        _ => unreached(&err.source),
    }
}

fn unreached(err: &io::Error) -> Life {
    match err.kind() {
        io::ErrorKind::TimedOut => Life::NoConnection,
        io::ErrorKind::ConnectionRefused => Life::RefusesConnection,
        _ => Life::ClosesConnection,
    }
}

/// Checks that an endpoint keeps a connection.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] if no connection is established in time, as the endpoint is busy
/// or cut off, and with other errors if it refuses or closes one.
async fn connect(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
) -> io::Result<()> {
    let mut socket = reach::connect(context, endpoint, state).await?;
    match timeout_at(Instant::now() + KEPT_TIME, socket.fill()).await {
        Ok(true) => return Ok(()),
        Ok(false) => return Err(io::ErrorKind::ConnectionAborted.into()),
        Err(err) if err.kind() == io::ErrorKind::TimedOut => {}
        Err(err) => return Err(err),
    }
    // The connection may have been accepted just before the endpoint ended, and never be closed.
    reach::connect(context, endpoint, state).await.map(drop)
}
