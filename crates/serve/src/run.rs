//! Sending a request to endpoints until one answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use kernel::{Failure, Reason, Verdict};
use limits::{PlacementError, RequestLoad};
use relay::{Exchange, ExchangeError, ResponseHead};

use crate::desk::Desk;
use crate::endpoint::Endpoint;
use crate::endpoint_protocol::{Attempt, ExecutionStatus, Reply};
use crate::job::{EndpointFailure, Job};
use crate::outcome::Counters;
use crate::plan::{self, Place};
use crate::station::{Seat, Station, StationKey};
use crate::version_counters::{Ending, VersionCounters};

/// The largest answer that is held to see whether it is whole, in bytes.
pub(crate) const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// The moment to come back while no endpoint is known, in milliseconds: what a restart takes.
const NOBODY_COMEBACK_MS: u64 = 500;

/// The moment to come back while all endpoints are full, in milliseconds: some plain requests.
const FULL_COMEBACK_MS: u64 = 120;

/// How long the body of an endpoint's failure is read; another endpoint may be waiting to be asked.
const FAILURE_READ: Duration = Duration::from_millis(250);

/// How long an endpoint with work in hand may send nothing at all before it is taken for dead.
/// Engines that live send a token of some request many times a second.
const SILENCE_MS: u64 = 1_500;

/// How often a waiting request looks for such silence.
const SILENCE_TICK: Duration = Duration::from_millis(250);

/// A call on a version, until it is dropped.
pub(crate) struct Running {
    tally: Arc<VersionCounters>,
    endpoint: Arc<Endpoint>,
}

impl Running {
    fn start(tally: &Arc<VersionCounters>, endpoint: &Arc<Endpoint>) -> Running {
        tally.start(&endpoint.service, &endpoint.version);
        Running {
            tally: tally.clone(),
            endpoint: endpoint.clone(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tally
            .end(&self.endpoint.service, &self.endpoint.version);
    }
}

/// An answer that has begun.
pub(crate) struct Begun {
    pub(crate) exchange: Exchange,
    pub(crate) head: ResponseHead,
    pub(crate) reply: Reply,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) seat: Seat,
    pub(crate) _running: Running,
    pub(crate) sent_at: Instant,
    /// The time from the send to the head of the answer.
    pub(crate) first: Duration,
    /// How long its prompt was taken to be read when it was placed, in milliseconds.
    pub(crate) reading_ms: f64,
}

/// What became of one send.
enum Sent {
    Begun(Box<Begun>),
    /// Another endpoint may take it.
    Next,
}

impl Job {
    /// Sends the request until an endpoint begins to answer.
    ///
    /// # Errors
    ///
    /// Fails when the time is up, nothing more may be tried, or nobody takes it.
    pub(crate) async fn dispatch(
        &mut self,
        desk: &Rc<Desk>,
        resume_after: Option<u64>,
    ) -> Result<Box<Begun>, Failure> {
        loop {
            if self.left().is_zero() {
                return Err(self.failure(Reason::Deadline, "the time is up"));
            }
            if !self.may_go_on() {
                let failure =
                    self.failure(Reason::EndpointFailed, "no further endpoint may be tried");
                return Err(failure.retry_after_ms(self.comeback_ms(FULL_COMEBACK_MS)));
            }
            let place = self.place(desk)?;
            if self.sends > 0 && !desk.take_repeat(&self.service) {
                let failure = self.failure(Reason::Overloaded, "the budget of repeats is used up");
                return Err(failure.retry_after_ms(self.comeback_ms(FULL_COMEBACK_MS)));
            }
            if let Sent::Begun(begun) = self.send(desk, place, resume_after).await {
                return Ok(begun);
            }
        }
    }

    fn place(&mut self, desk: &Rc<Desk>) -> Result<Place, Failure> {
        let view = desk.view();
        let place = |job: &Job| {
            plan::next_place(
                job,
                &view,
                &desk.stations,
                &desk.settings.zone,
                desk.now_ms(),
            )
        };
        let mut placed = place(self);
        if placed
            .as_ref()
            .is_err_and(|err| *err == PlacementError::NoCandidate)
            && self.verdict != Verdict::NotRun
        {
            // All were tried; one that failed once may do better than none.
            self.tried.clear();
            placed = place(self);
        }
        placed.map_err(|err| match err {
            PlacementError::NoCandidate => self
                .failure(Reason::NoEndpoint, "no endpoint takes the request")
                .retry_after_ms(self.comeback_ms(NOBODY_COMEBACK_MS)),
            PlacementError::Full => self
                .failure(Reason::Overloaded, "all endpoints are full")
                .retry_after_ms(self.comeback_ms(FULL_COMEBACK_MS)),
        })
    }

    async fn send(&mut self, desk: &Rc<Desk>, place: Place, resume_after: Option<u64>) -> Sent {
        let Place { endpoint, station } = place;
        let reading_ms = self.reading_ms(desk);
        let mut seat = Seat::take(station.clone(), RequestLoad::from_prefill_ms(reading_ms));
        let attempt = Attempt {
            request: &self.ask,
            head: &self.call.head,
            body_bytes: self.call.body.len(),
            endpoint: &endpoint,
            remaining_ms: (self.left().as_millis() as u64).max(1),
            workspace: self.workspace.as_ref().map(|workspace| &*workspace.name),
            priority: self.urgency(),
            size: self
                .size
                .and_then(|size| self.route.model_sizes.get(size))
                .map(|size| &**size),
            resume_after,
        };
        let bytes = desk.protocol.encode(&attempt);
        let sent_at = Instant::now();
        let connect_until = sent_at + Duration::from_millis(desk.settings.connect_timeout_ms);
        let running = Running::start(&desk.tally, &endpoint);
        let starting = Exchange::start(
            endpoint.addr,
            connect_until.min(self.deadline),
            sent_at + self.patience(&station),
            &self.call.head.method,
            &bytes,
            &self.call.body,
        );
        let silence = async {
            self.wait_for_silence(desk, &station).await;
            let source = std::io::Error::other("the endpoint sends nothing at all");
            Err(ExchangeError { sent: true, source })
        };
        let started = starting.or(silence).await;
        self.tried.push(StationKey::of(&endpoint));
        self.last_endpoint = Some(endpoint.clone());
        let now_ms = desk.now_ms();
        let (exchange, head) = match started {
            Ok(started) => started,
            Err(err) if !err.sent => {
                station.note_unreached(now_ms);
                self.refusals += 1;
                self.log_send(&endpoint, "unreached", &err.to_string());
                return Sent::Next;
            }
            Err(err) => {
                self.sends += 1;
                self.note_run(Verdict::MayHaveRun);
                station.note_ended(true, now_ms);
                self.log_send(&endpoint, "broke", &err.to_string());
                return Sent::Next;
            }
        };
        let first = sent_at.elapsed();
        station.note_first(first.as_millis() as u64, now_ms);
        desk.paces.note_reading(
            &self.kind(),
            self.ask.token_usage.prompt_tokens,
            first.as_millis() as f64,
        );
        seat.begin_answer();
        self.sends += 1;
        if self.sends > 1 {
            Counters::add(&desk.counters.retries);
        }
        let reply = desk.protocol.decode(&self.ask, &head);
        if reply.matches_request
            && reply.execution_status == ExecutionStatus::Answered
            && reply.sealed
        {
            return Sent::Begun(Box::new(Begun {
                exchange,
                head,
                reply,
                endpoint,
                seat,
                _running: running,
                sent_at,
                first,
                reading_ms,
            }));
        }
        self.note_no_answer(desk, &endpoint, &station, &reply);
        if reply.matches_request && reply.execution_status == ExecutionStatus::Failed {
            self.keep_failure(exchange, head).await;
        }
        Sent::Next
    }

    /// Notes an answer that is of no use to the caller, and what it says of the request.
    fn note_no_answer(
        &mut self,
        desk: &Desk,
        endpoint: &Arc<Endpoint>,
        station: &Station,
        reply: &Reply,
    ) {
        let now_ms = desk.now_ms();
        let (result, detail, verdict) = match reply.execution_status {
            _ if !reply.matches_request => (
                "foreign",
                "the answer belongs to another request",
                Verdict::MayHaveRun,
            ),
            ExecutionStatus::Misdirected => (
                "misdirected",
                "the address has another endpoint now",
                Verdict::NotRun,
            ),
            ExecutionStatus::NotStarted => (
                "turned away",
                "the endpoint did not start it",
                Verdict::NotRun,
            ),
            ExecutionStatus::Failed => ("failed", "the endpoint ran it and failed", Verdict::Ran),
            ExecutionStatus::Answered => (
                "unsealed",
                "the endpoint does not vouch for its answer",
                Verdict::MayHaveRun,
            ),
        };
        self.log_send(endpoint, result, detail);
        if verdict == Verdict::NotRun {
            self.refusals += 1;
            match reply.execution_status {
                ExecutionStatus::Misdirected => station.note_misdirected(),
                _ => station.note_full(now_ms),
            }
            return;
        }
        self.note_run(verdict);
        station.note_ended(true, now_ms);
        self.note_tally(desk, endpoint, Ending::Failed);
    }

    /// Keeps an endpoint's own failure for the caller, in case nothing better comes.
    async fn keep_failure(&mut self, mut exchange: Exchange, head: ResponseHead) {
        let until = self.deadline.min(Instant::now() + FAILURE_READ);
        if let Ok(body) = relay::timeout_at(until, exchange.read_to_end(MAX_ANSWER_BYTES)).await {
            self.own_failure = Some(EndpointFailure { head, body });
        }
    }

    /// Returns when an endpoint was silent for too long, if others may still take the request.
    async fn wait_for_silence(&self, desk: &Desk, station: &Station) {
        if !self.route.retry_safety.may_retry() || self.runs + 1 >= self.route.max_attempts {
            std::future::pending::<()>().await;
        }
        let sent_ms = desk.now_ms();
        loop {
            Timer::after(SILENCE_TICK).await;
            let last_ms = station.heard_ms().max(sent_ms);
            if desk.now_ms() >= last_ms + SILENCE_MS {
                return;
            }
        }
    }

    pub(crate) fn note_tally(&self, desk: &Desk, endpoint: &Endpoint, ending: Ending) {
        desk.tally.note(
            &endpoint.service,
            &endpoint.version,
            &self.route.name,
            ending,
        );
    }

    pub(crate) fn log_send(&self, endpoint: &Endpoint, result: &str, detail: &str) {
        tracing::info!(
            id = &*self.ask.id,
            endpoint = &*endpoint.id,
            version = &*endpoint.version,
            result,
            detail,
            sends = self.sends,
            left_ms = self.left().as_millis() as u64,
            "send: no answer"
        );
    }
}
