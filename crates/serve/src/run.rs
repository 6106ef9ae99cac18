//! Sending a request to endpoints until one answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use kernel::{Failure, Reason, Verdict};
use limits::NoPlace;
use relay::{Call, Exchange, ExchangeError, ResponseHead};
use route::{Route, Workspace};
use xxhash_rust::xxh3::xxh3_64;

use crate::ask::Ask;
use crate::endpoint::Endpoint;
use crate::journal::Counters;
use crate::pipeline::Desk;
use crate::plan::{self, Place};
use crate::protocol::{Attempt, Reply, Standing};
use crate::station::{Seat, Station, StationKey};
use crate::tally::{Ending, Tally};

/// The largest answer that is held to see whether it is whole, in bytes.
pub(crate) const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// How many endpoints may turn a request away before its caller is told to come back.
const MAX_REFUSALS: u32 = 4;

/// The urgency of rank 0 among an endpoint's requests.
const FIRST_URGENCY: u8 = 2;

/// How many steps of urgency one rank is.
const URGENCY_STEP: u8 = 2;

/// The least urgent step that endpoints know.
const LAST_URGENCY: u8 = 9;

/// The shortest moment to come back, in milliseconds: some times the way to callers and back.
const MIN_COMEBACK_MS: u64 = 50;

/// The moment to come back while no endpoint is known, in milliseconds: what a restart takes.
const NOBODY_COMEBACK_MS: u64 = 500;

/// The moment to come back while all endpoints are full, in milliseconds: some plain requests.
const FULL_COMEBACK_MS: u64 = 120;

/// Callers keep to a moment within a third of their time; a quarter leaves room for the way.
const COMEBACK_SHARE: u64 = 4;

/// How many of its objectives a repeatable plain request waits for one endpoint.
const PATIENCE: f64 = 2.5;

/// How many of its objectives a stream waits for one endpoint at least: sending a long prompt
/// elsewhere reads it again.
const STREAM_PATIENCE: f64 = 2.0;

/// How many of the endpoint's usual times to a first event a stream waits at least.
const PATIENCE_OF_USUAL: f64 = 6.0;

/// How long an endpoint with work in hand may send nothing at all before it is taken for dead.
/// Engines that live send a token of some request many times a second.
const SILENCE_MS: u64 = 1_500;

/// How often a waiting request looks for such silence.
const SILENCE_TICK: Duration = Duration::from_millis(250);

/// One request under way.
pub(crate) struct Job {
    pub(crate) call: Call,
    pub(crate) ask: Ask,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) max_connections: u32,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) deadline: Instant,
    /// The runs that turned it away or failed it.
    pub(crate) tried: Vec<StationKey>,
    /// How many endpoints got it.
    pub(crate) sends: u32,
    /// How many endpoints may have run it.
    pub(crate) runs: u32,
    pub(crate) refusals: u32,
    pub(crate) verdict: Verdict,
    /// The size of the model, as an index into the route's.
    pub(crate) size: Option<usize>,
    /// Whether a smaller model's answer was not good enough.
    pub(crate) escalated: bool,
    /// How sure the model was of its answer, from 0 to 100.
    pub(crate) confidence: Option<u8>,
    pub(crate) last_endpoint: Option<Arc<Endpoint>>,
    /// An endpoint's own failure, which the caller gets if nothing better comes.
    pub(crate) own_failure: Option<EndpointFailure>,
}

/// An endpoint's own whole answer that is no success.
pub(crate) struct EndpointFailure {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

/// A call on a version, until it is dropped.
pub(crate) struct Running {
    tally: Arc<Tally>,
    endpoint: Arc<Endpoint>,
}

impl Running {
    fn start(tally: &Arc<Tally>, endpoint: &Arc<Endpoint>) -> Running {
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
}

/// What became of one send.
enum Sent {
    Begun(Box<Begun>),
    /// Another endpoint may take it.
    Next,
}

impl Job {
    /// Returns how long the caller still waits.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns a number below 1 that is the same for all requests of a conversation.
    pub(crate) fn conversation_unit(&self) -> f64 {
        let key = self.ask.session.as_ref().unwrap_or(&self.ask.id);
        xxh3_64(key.as_bytes()) as f64 / (u64::MAX as f64 + 1.0)
    }

    /// Returns whether the request may be sent again.
    pub(crate) fn may_go_on(&self) -> bool {
        let allowed = self.verdict == Verdict::NotRun || self.route.repeat.may_repeat();
        allowed && self.runs < self.route.max_attempts && self.refusals < MAX_REFUSALS
    }

    /// Notes that an endpoint may have run the request.
    pub(crate) fn note_run(&mut self, verdict: Verdict) {
        self.runs += 1;
        self.verdict = self.verdict.join(verdict);
    }

    /// Makes the failure that says what is known of the request.
    pub(crate) fn failure(&self, reason: Reason, detail: impl Into<String>) -> Failure {
        if self.verdict == Verdict::NotRun {
            let reason = match reason {
                Reason::Endpoint | Reason::Deadline => Reason::Overloaded,
                reason => reason,
            };
            return Failure::not_run(reason, detail);
        }
        let reason = match reason {
            Reason::Deadline => Reason::Deadline,
            _ => Reason::Endpoint,
        };
        Failure::new(self.verdict, reason, detail)
    }

    /// Returns the moment to come back, within what the caller keeps to.
    pub(crate) fn comeback_ms(&self, usual_ms: u64) -> u64 {
        let bound_ms = self.left().as_millis() as u64 / COMEBACK_SHARE;
        let jitter_ms = fastrand::u64(..=usual_ms / 2);
        (usual_ms + jitter_ms).min(bound_ms).max(MIN_COMEBACK_MS)
    }

    fn urgency(&self) -> u8 {
        let rank = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        let rank = rank.unwrap_or(self.route.rank);
        let urgency = FIRST_URGENCY.saturating_add(rank.saturating_mul(URGENCY_STEP));
        let waited = u8::from(self.escalated || self.ask.resume_after.is_some());
        (urgency - waited).min(LAST_URGENCY)
    }

    /// Returns how long one endpoint is waited for, as long as it answers other requests.
    fn patience(&self, station: &Station) -> Duration {
        let others = self.route.repeat.may_repeat() && self.runs + 1 < self.route.max_attempts;
        if !others {
            return self.left();
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        if !self.route.repeat.is_stream() {
            return objective.mul_f64(PATIENCE).min(self.left() / 2);
        }
        let usual_ms = station.first_ms().unwrap_or_default() * PATIENCE_OF_USUAL;
        let usual = Duration::from_millis(usual_ms as u64);
        objective
            .mul_f64(STREAM_PATIENCE)
            .max(usual)
            .min(self.left())
    }

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
                let failure = self.failure(Reason::Endpoint, "no further endpoint may be tried");
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
        if placed.as_ref().is_err_and(|err| *err == NoPlace::Nobody)
            && self.verdict != Verdict::NotRun
        {
            // All were tried; one that failed once may do better than none.
            self.tried.clear();
            placed = place(self);
        }
        placed.map_err(|err| match err {
            NoPlace::Nobody => self
                .failure(Reason::NoEndpoint, "no endpoint takes the request")
                .retry_after_ms(self.comeback_ms(NOBODY_COMEBACK_MS)),
            NoPlace::Full => self
                .failure(Reason::Overloaded, "all endpoints are full")
                .retry_after_ms(self.comeback_ms(FULL_COMEBACK_MS)),
        })
    }

    async fn send(&mut self, desk: &Rc<Desk>, place: Place, resume_after: Option<u64>) -> Sent {
        let Place { endpoint, station } = place;
        let seat = Seat::take(station.clone(), plan::work(self));
        let attempt = Attempt {
            ask: &self.ask,
            head: &self.call.head,
            body_bytes: self.call.body.len(),
            endpoint: &endpoint,
            left_ms: (self.left().as_millis() as u64).max(1),
            workspace: self.workspace.as_ref().map(|workspace| &*workspace.name),
            urgency: self.urgency(),
            size: self
                .size
                .and_then(|size| self.route.sizes.get(size))
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
        let (mut exchange, head) = match started {
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
                self.note_tally(desk, &endpoint, Ending::Failed);
                self.log_send(&endpoint, "broke", &err.to_string());
                return Sent::Next;
            }
        };
        let first = sent_at.elapsed();
        station.note_first(first.as_millis() as u64, now_ms);
        self.sends += 1;
        if self.sends > 1 {
            Counters::add(&desk.counters.repeats);
        }
        let reply = desk.protocol.decode(&self.ask, &head);
        match reply.standing {
            _ if !reply.is_ours => {
                self.note_run(Verdict::MayHaveRun);
                station.note_ended(true, now_ms);
                self.log_send(
                    &endpoint,
                    "foreign",
                    "the answer belongs to another request",
                );
                Sent::Next
            }
            Standing::Misdirected => {
                station.note_misdirected();
                self.refusals += 1;
                self.log_send(
                    &endpoint,
                    "misdirected",
                    "the address has another endpoint now",
                );
                Sent::Next
            }
            Standing::NotStarted => {
                station.note_full(now_ms);
                self.refusals += 1;
                self.log_send(&endpoint, "turned away", "the endpoint did not start it");
                Sent::Next
            }
            Standing::Failed => {
                self.note_run(Verdict::Ran);
                station.note_ended(true, now_ms);
                self.note_tally(desk, &endpoint, Ending::Failed);
                let body = relay::within(self.deadline, exchange.all(MAX_ANSWER_BYTES)).await;
                self.log_send(&endpoint, "failed", &head.status.to_string());
                if let Ok(body) = body {
                    self.own_failure = Some(EndpointFailure { head, body });
                }
                Sent::Next
            }
            Standing::Answered if !reply.sealed => {
                self.note_run(Verdict::MayHaveRun);
                station.note_ended(true, now_ms);
                self.note_tally(desk, &endpoint, Ending::Failed);
                self.log_send(
                    &endpoint,
                    "unsealed",
                    "the endpoint does not vouch for its answer",
                );
                Sent::Next
            }
            Standing::Answered => Sent::Begun(Box::new(Begun {
                exchange,
                head,
                reply,
                endpoint,
                seat,
                _running: running,
                sent_at,
                first,
            })),
        }
    }

    /// Returns when an endpoint was silent for too long, if others may still take the request.
    async fn wait_for_silence(&self, desk: &Desk, station: &Station) {
        if !self.route.repeat.may_repeat() || self.runs + 1 >= self.route.max_attempts {
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
