//! Whether the run of an endpoint that sent an answer is still there, as its address and the registry show.

use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use relay::{Exchange, ExchangeError, ResponseHead, Socket, timeout_at};

use crate::call_record::{record_connected, record_unreachable};
use crate::endpoint::Endpoint;
use crate::endpoint_protocol::Responder;
use crate::endpoint_state::EndpointState;
use crate::life_check::{Life, LifeCheck, Sign};
use crate::other_answers::{EndTime, goes_on};
use crate::outcome::Counters;
use crate::reach;
use crate::request_context::RequestContext;
use crate::run::{Identity, Run};
use crate::witness::ACCEPT_TIME;

/// How long an endpoint that is not asked has to keep a connection open. The backlog of a process that ends,
/// or a proxy before it, may accept a connection and close it a moment later.
const KEPT_TIME: Duration = Duration::from_millis(30);

/// How long further ends may come that share a check.
const GATHER_TIME: Duration = Duration::from_millis(10);

/// Maximum size of what an endpoint says of itself, in bytes.
const MAX_REPORT_BYTES: u64 = 64 << 10;

/// Checks whether the run of an endpoint that sent an answer is still there: it answers, or goes on with other
/// answers.
pub(crate) async fn check_life(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    end: EndTime,
    until: Instant,
) -> Sign {
    let other_answers = async {
        match goes_on(context, state, end, until).await {
            Some(sign) => sign,
            None => std::future::pending().await,
        }
    };
    let found = check_address(context, endpoint, state, end, until)
        .or(other_answers)
        .await;
    // Until the registry told of a later run, that one may have sent the answer.
    let is_witnessed = found.life == Life::Answers && found.since.is_some();
    let view = context.view();
    if !is_witnessed && view.has_successor(endpoint.addr, endpoint.started_ms) {
        return Sign::new(Life::Replaced);
    }
    found
}

/// Checks what answers at the address of an endpoint. Answers that end together share a check that starts
/// after their ends.
async fn check_address(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    end: EndTime,
    until: Instant,
) -> Sign {
    let asked_at = Instant::now();
    let check = async {
        let mut latest = state.life_check.lock().await;
        if let Some(check) = *latest
            && check.replaces(asked_at, until)
            && let Some(sign) = check.sign_of(end.alive_at)
        {
            return Ok(sign);
        }
        if Instant::now() >= until {
            return Ok(Sign::new(Life::NoAnswer));
        }
        let question = Question {
            context,
            endpoint,
            state,
            alive_at: end.alive_at,
            until,
        };
        let check = Box::pin(question.ask()).await;
        *latest = Some(check);
        let sign = check.sign_of(end.alive_at);
        Ok(sign.unwrap_or(Sign::new(Life::NoAnswer)))
    };
    let checked = timeout_at(until, check).await;
    checked.unwrap_or(Sign::new(Life::NoAnswer))
}

/// Asks an endpoint whose cold period ends here whether it is cold no longer. It counts as broken if it refuses or
/// closes the connection.
pub(crate) async fn confirm_warm(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
    health_path: &str,
) {
    let timeout = Duration::from_millis(context.settings.connect_timeout_ms);
    let asked_at = Instant::now();
    let question = Question {
        context,
        endpoint,
        state,
        alive_at: asked_at,
        // The answer has as long as the connection.
        until: asked_at + 2 * timeout,
    };
    let protocol = &context.endpoint_protocol;
    let request = protocol.encode_health_check(endpoint, health_path);
    let answer = Box::pin(question.ask_once(&request)).await;
    if let Err(Life::RefusesConnection | Life::ClosesConnection) = answer {
        state.cold.record_broken(context.now_ms());
    }
}

/// The answer to a question, and its connection if it is kept.
struct Answer {
    responder: Responder,
    socket: Option<Socket>,
}

/// The question whether a run is still there.
struct Question<'a> {
    context: &'a RequestContext,
    endpoint: &'a Endpoint,
    state: &'a EndpointState,
    /// Until when the run is known to have been there.
    alive_at: Instant,
    until: Instant,
}

impl Question<'_> {
    /// Asks on the idle connection to the endpoint, if there is one, and else on a new one.
    async fn ask(&self) -> LifeCheck {
        let view = self.context.view();
        let table = view.table.as_ref();
        let service = table.and_then(|table| table.service(&self.endpoint.service));
        let now_ms = self.context.now_ms();
        // Endpoints of an evacuated zone get no request, also none for their health.
        let is_open = !view.is_evacuated(&self.endpoint.zone, now_ms);
        let wants_checks = is_open && self.state.try_acquire_check(self.endpoint, &view, now_ms);
        let health_path = service
            .filter(|_| wants_checks)
            .map(|service| &*service.health_path);
        if let Some((socket, established_at)) = self.state.witness.take(self.alive_at) {
            // The only connection that can be had is not spent on a question that may end it.
            let may_ask = wants_checks && self.has_another_witness().await;
            let started_at = Instant::now();
            let health_path = health_path.filter(|_| may_ask);
            let asking = Box::pin(self.ask_witness(socket, established_at, health_path));
            if let Some((found, by_connection)) = asking.await {
                return LifeCheck {
                    established_at: by_connection.then_some(established_at),
                    keeps_witness: true,
                    ..self.check(started_at, found)
                };
            }
            self.state.witness.record_lost();
        }
        Timer::after(GATHER_TIME).await;
        let started_at = Instant::now();
        let found = match health_path {
            Some(path) => Box::pin(self.ask_on_new_connection(path)).await,
            None => Box::pin(self.connect(is_open)).await,
        };
        self.check(started_at, found)
    }

    fn check(&self, started_at: Instant, found: Life) -> LifeCheck {
        LifeCheck {
            started_at,
            until: self.until,
            found,
            established_at: None,
            keeps_witness: false,
        }
    }

    /// Returns whether there is an idle connection after a question, as the endpoint keeps the one that it is asked
    /// on, or as another is open. That one can show the life of the run once the run has accepted it, so that
    /// further ends until then are to share this check.
    async fn has_another_witness(&self) -> bool {
        if self.state.witness.keeps_alive() {
            Timer::after(GATHER_TIME).await;
            return true;
        }
        let opened = reach::connect(self.context, self.endpoint, self.state).await;
        let is_open = opened.is_ok();
        self.state.witness.set(opened);
        if is_open {
            Timer::after(ACCEPT_TIME).await;
        }
        self.state.witness.is_open()
    }

    /// Asks on an idle connection, or only waits whether it is kept. Returns what is found, and whether only the
    /// connection tells the run from a later one, or `None` if the connection has ended.
    async fn ask_witness(
        &self,
        mut socket: Socket,
        established_at: Instant,
        health_path: Option<&str>,
    ) -> Option<(Life, bool)> {
        let witness = &self.state.witness;
        let Some(path) = health_path else {
            is_kept(&mut socket).await.ok()?;
            witness.put_back(socket, established_at, false);
            return Some((Life::KeepsConnection, true));
        };
        let protocol = &self.context.endpoint_protocol;
        let request = protocol.encode_health_check(self.endpoint, path);
        let asked_ms = self.context.now_ms();
        let answer = Exchange::start_on(socket, self.until, "GET", &request, &Bytes::new()).await;
        let answer = match self.read_answer(answer, asked_ms).await {
            Ok(answer) => answer,
            Err(err) if err.source.kind() == io::ErrorKind::TimedOut => {
                return Some((Life::NoAnswer, false));
            }
            Err(_) => return None,
        };
        if let Some(socket) = answer.socket {
            witness.put_back(socket, established_at, true);
        }
        let run = Run::of(self.endpoint);
        match run.identify(&answer.responder) {
            Identity::Same => Some((self.record_life(), false)),
            // The registry may list the run late that accepted the connection.
            _ if run.has_id_of(&answer.responder) => Some((self.record_life(), true)),
            identity => Some((self.record(identity), false)),
        }
    }

    /// Asks for the endpoint's health, and then for its report if that does not tell the run.
    async fn ask_on_new_connection(&self, health_path: &str) -> Life {
        let protocol = &self.context.endpoint_protocol;
        let request = protocol.encode_health_check(self.endpoint, health_path);
        match self.ask_once(&request).await {
            Ok((Identity::Unknown, responder)) if responder.id.is_some() => {}
            Ok((identity, _)) => return self.record(identity),
            Err(found) => return found,
        }
        self.ask_report().await
    }

    /// Asks for the report of the endpoint, which takes no room.
    async fn ask_report(&self) -> Life {
        let protocol = &self.context.endpoint_protocol;
        let request = protocol.encode_report_request(self.endpoint);
        match self.ask_once(&request).await {
            Ok((identity, _)) => self.record(identity),
            Err(found) => found,
        }
    }

    async fn ask_once(&self, request: &[u8]) -> Result<(Identity, Responder), Life> {
        let opened_ms = self.context.now_ms();
        Counters::add(&self.context.counters.connections_for_health_checks);
        let timeout = Duration::from_millis(self.context.settings.connect_timeout_ms);
        let full_timeout = Instant::now() + timeout;
        let connect_until = self.until.min(full_timeout);
        let (addr, body) = (self.endpoint.addr, Bytes::new());
        let answer = Exchange::start(addr, connect_until, self.until, "GET", request, &body).await;
        let now_ms = self.context.now_ms();
        match &answer {
            // Less than the usual time says nothing of the path.
            Err(err) if !err.sent && connect_until < full_timeout => {}
            Err(err) if !err.sent => {
                record_unreachable(self.endpoint, self.state, opened_ms, now_ms);
            }
            _ => record_connected(self.endpoint, self.state, opened_ms),
        }
        let answer = self.read_answer(answer, opened_ms).await;
        let responder = answer.map_err(|err| unanswered(&err))?.responder;
        Ok((Run::of(self.endpoint).identify(&responder), responder))
    }

    /// Reads who answers.
    async fn read_answer(
        &self,
        answer: Result<(Exchange, ResponseHead), ExchangeError>,
        asked_ms: u64,
    ) -> Result<Answer, ExchangeError> {
        let (mut exchange, head) = answer?;
        let body = timeout_at(self.until, exchange.read_to_end(MAX_REPORT_BYTES)).await;
        // The head may tell enough.
        let body = body.unwrap_or_default();
        let protocol = &self.context.endpoint_protocol;
        let responder = protocol.decode_responder(self.endpoint, &head, &body);
        if let Some(left_ms) = responder.cold_left_ms
            && Run::of(self.endpoint).has_id_of(&responder)
        {
            let now_ms = self.context.now_ms();
            self.state.cold.record_answer(left_ms, asked_ms, now_ms);
        }
        if responder.is_full {
            self.state.record_full(self.context.now_ms());
        }
        let is_closed = head.minor_version == 0 || head.headers.has_token("connection", "close");
        let socket = exchange.into_socket().filter(|_| !is_closed);
        Ok(Answer { responder, socket })
    }

    fn record(&self, identity: Identity) -> Life {
        match identity {
            Identity::Same => self.record_life(),
            Identity::Other => Life::Replaced,
            Identity::Unknown => Life::NoAnswer,
        }
    }

    fn record_life(&self) -> Life {
        let now_ms = self.context.now_ms();
        self.state.record_life(Some(now_ms), now_ms);
        Life::Answers
    }

    /// Asks an endpoint that wants no more requests only for its report, or connects to it if a report would not
    /// tell the run or its zone is evacuated.
    async fn connect(&self, is_open: bool) -> Life {
        if is_open && self.endpoint.started_ms.is_some() {
            return self.ask_report().await;
        }
        match connect(self.context, self.endpoint, self.state).await {
            Ok(()) => Life::KeepsConnection,
            Err(err) => unreached(&err),
        }
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

/// Checks that an endpoint keeps a new connection.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] if no connection is established in time, as the endpoint is busy
/// or cut off, and with other errors if it refuses or closes one.
pub(crate) async fn connect(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
) -> io::Result<()> {
    let mut socket = reach::connect(context, endpoint, state).await?;
    is_kept(&mut socket).await?;
    // The connection may have been accepted just before the endpoint ended, and never be closed.
    reach::connect(context, endpoint, state).await.map(drop)
}

/// Checks that a connection is kept for a while.
///
/// # Errors
///
/// Fails if it is closed.
async fn is_kept(socket: &mut Socket) -> io::Result<()> {
    match timeout_at(Instant::now() + KEPT_TIME, socket.fill()).await {
        Ok(true) => Ok(()),
        Ok(false) => Err(io::ErrorKind::ConnectionAborted.into()),
        Err(err) if err.kind() == io::ErrorKind::TimedOut => Ok(()),
        Err(err) => Err(err),
    }
}
