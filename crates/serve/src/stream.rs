//! Forwarding of a response that is a stream of events.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::Verdict;
use relay::{BodyError, BodyStream, LocalFuture, timeout_at};
use rollout::{StreamProgress, is_slow_stream};

use crate::active_request::ActiveRequest;
use crate::answer_end::check_end;
use crate::dispatch::StartedResponse;
use crate::events::{Event, EventSplitter};
use crate::outcome::{Outcome, StreamRecord};
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::version_counters::{CallOutcome, Measured};

/// Shortest silence after which a stream is resumed at another endpoint. Callers disconnect after
/// two seconds at the earliest.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Silence that counts as a stall, as a multiple of the longest gap that callers accept.
const STALL_GAPS: u32 = 2;

/// Time in which a peer resumes a stream that stalled.
const PEER_RESUME_TIME: Duration = Duration::from_millis(600);

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Minimum number of events for a latency sample.
const MIN_TIMED_EVENTS: u32 = 4;

/// A stream to a caller, which can be resumed at another endpoint.
pub(crate) struct Stream {
    context: Rc<RequestContext>,
    request: ActiveRequest,
    response: Box<StartedResponse>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    /// Events of the current run, and its start.
    events: u32,
    run_started: Instant,
    /// Earlier runs that brought events.
    earlier_runs: u32,
    /// Whether the outcome of the current run was recorded for its version.
    is_recorded: bool,
    stall_timeout: Duration,
    /// Whether the current endpoint is waited for until the deadline, as no other can resume.
    waits_for_deadline: bool,
    log: RequestLog,
    ended: bool,
}

impl Stream {
    pub(crate) fn new(
        context: Rc<RequestContext>,
        request: ActiveRequest,
        response: Box<StartedResponse>,
        log: RequestLog,
    ) -> Stream {
        let gap = Duration::from_millis(request.route.max_gap_ms.unwrap_or_default());
        let last_id = request.info.resume_after;
        let is_recorded = response.carried.is_some();
        Stream {
            context,
            request,
            response,
            splitter: EventSplitter::default(),
            last_id,
            events: 0,
            run_started: Instant::now(),
            earlier_runs: 0,
            is_recorded,
            stall_timeout: (gap * STALL_GAPS).max(MIN_STALL_TIMEOUT),
            waits_for_deadline: false,
            log,
            ended: false,
        }
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let err = match self.read_event().await {
                Ok(Some(event)) => {
                    self.events += 1;
                    self.record_version_outcome(false);
                    if event.id.is_some() {
                        self.last_id = event.id;
                    }
                    return Ok(Some(event.bytes));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(err) => err,
            };
            self.resume_elsewhere(&err).await?;
        }
    }

    /// Reads the next complete event of the current run.
    async fn read_event(&mut self) -> io::Result<Option<Event>> {
        loop {
            if let Some(event) = self.splitter.next() {
                return self.check_order(event).map(Some);
            }
            if self.splitter.pending_bytes() > MAX_EVENT_BYTES {
                let message = format!("an event exceeds {MAX_EVENT_BYTES} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            }
            let until = if self.waits_for_deadline {
                self.request.deadline
            } else {
                (Instant::now() + self.stall_timeout()).min(self.request.deadline)
            };
            match timeout_at(until, self.response.exchange.next()).await? {
                Some(bytes) => {
                    self.response
                        .call_guard
                        .endpoint_state
                        .record_received(self.context.now_ms());
                    self.splitter.push(&bytes);
                }
                None if self.splitter.is_empty() => {
                    self.check_end().await?;
                    return Ok(None);
                }
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
    }

    async fn check_end(&self) -> io::Result<()> {
        let StartedResponse {
            exchange,
            endpoint,
            call_guard,
            ..
        } = &*self.response;
        check_end(
            &self.context,
            exchange,
            endpoint,
            &call_guard.endpoint_state,
        )
        .await
    }

    /// Returns the silence that counts as a stall. A peer that carries the request notices it first.
    fn stall_timeout(&self) -> Duration {
        let is_carried = self.response.carried.is_some();
        let extra = if is_carried {
            PEER_RESUME_TIME
        } else {
            Duration::ZERO
        };
        self.stall_timeout + extra
    }

    /// Checks that no event is missing or duplicated.
    fn check_order(&self, event: Event) -> io::Result<Event> {
        let (Some(id), Some(last)) = (event.id, self.last_id) else {
            return Ok(event);
        };
        if id == last + 1 {
            return Ok(event);
        }
        let message = format!("event {id} follows event {last}");
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }

    /// Resumes at another endpoint after the last event that the caller received.
    ///
    /// If no other endpoint can resume and the current one is only silent, it is waited for.
    async fn resume_elsewhere(&mut self, err: &io::Error) -> Result<(), BodyError> {
        if self.request.remaining().is_zero() {
            return Err(self.abort("the time is up"));
        }
        let is_silent = err.kind() == io::ErrorKind::TimedOut;
        let why = err.to_string();
        let endpoint = self.response.endpoint.clone();
        self.response
            .call_guard
            .endpoint_state
            .record_outcome(true, self.context.now_ms());
        let endpoint_state = self.response.call_guard.endpoint_state.clone();
        self.request
            .record_broken(&self.context, &endpoint, &endpoint_state, err);
        let sent_at = self.response.sent_at;
        self.request
            .log_send(&endpoint, "stream broke", &why, sent_at);
        let carried = self.response.carried.as_ref();
        let runs = carried.map_or(1, |call| call.granted_runs);
        self.request.record_runs(Verdict::Ran, runs);
        self.request.is_resumed = true;
        let failure = if self.request.may_retry() {
            match self.request.dispatch(&self.context, self.last_id).await {
                Ok(response) => {
                    self.switch_to(response);
                    return Ok(());
                }
                Err(failure) => failure.to_string(),
            }
        } else {
            why
        };
        if is_silent {
            self.waits_for_deadline = true;
            return Ok(());
        }
        Err(self.abort(&failure))
    }

    fn switch_to(&mut self, response: Box<StartedResponse>) {
        self.is_recorded = response.carried.is_some();
        self.response = response;
        self.splitter.clear();
        self.earlier_runs += u32::from(self.events > 0);
        self.events = 0;
        self.run_started = Instant::now();
    }

    /// Records the outcome of the current run for its version, once its latency is conclusive.
    fn record_version_outcome(&mut self, is_over: bool) {
        if self.is_recorded {
            return;
        }
        let progress = StreamProgress {
            events: self.events,
            elapsed_ms: self.run_started.elapsed().as_millis() as f64,
            is_over,
        };
        let baseline_ms = self
            .context
            .baselines
            .event_ms(&self.request.baseline_key());
        let Some(is_slow) = is_slow_stream(&progress, baseline_ms) else {
            return;
        };
        self.is_recorded = true;
        let pace = progress.relative_pace(baseline_ms);
        let measured = pace.map(Measured::StreamPace);
        let outcome = if is_slow {
            CallOutcome::Slow
        } else {
            CallOutcome::Answered
        };
        self.request
            .record_call_outcome(&self.context, &self.response.endpoint, outcome, measured);
    }

    /// Records the time per event, by which slow endpoints are recognised.
    fn record_event_latency(&self) {
        if self.events < MIN_TIMED_EVENTS || self.response.carried.is_some() {
            return;
        }
        let event_ms = self.run_started.elapsed().as_millis() as f64 / f64::from(self.events);
        let ratio = self
            .context
            .baselines
            .record_event(&self.request.baseline_key(), event_ms);
        self.response
            .call_guard
            .endpoint_state
            .record_latency_ratio(ratio, self.context.now_ms());
    }

    fn finish(&mut self) {
        self.ended = true;
        self.record_version_outcome(true);
        self.record_event_latency();
        let now_ms = self.context.now_ms();
        let endpoint_state = &self.response.call_guard.endpoint_state;
        endpoint_state.record_outcome(false, now_ms);
        // The end of the connection may also be that of its endpoint.
        let ended_by_itself = !self.response.exchange.ends_with_connection();
        if ended_by_itself {
            endpoint_state.record_completed(&self.request.key, now_ms);
        }
        self.write_log(&Outcome::Answered(self.response.head.status));
    }

    fn write_log(&mut self, outcome: &Outcome) {
        self.log.stream = Some(StreamRecord {
            framing: self.response.exchange.framing().as_str(),
            last_event: self.last_id,
            run_events: self.events,
            runs: self.earlier_runs + u32::from(self.events > 0),
        });
        self.log.write(&self.context, Some(&self.request), outcome);
    }

    fn abort(&mut self, why: &str) -> BodyError {
        self.ended = true;
        self.write_log(&Outcome::StreamBroken(why.to_owned()));
        BodyError {
            message: why.to_owned(),
        }
    }
}

impl BodyStream for Stream {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, BodyError>> {
        Box::pin(self.next_event())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let outcome = if self.context.stopped.get() {
            Outcome::StreamBroken("the instance stopped".to_owned())
        } else {
            Outcome::CallerDisconnected
        };
        self.write_log(&outcome);
    }
}
