//! Forwarding of a response that is a stream of events.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::Verdict;
use relay::{BodyError, BodyStream, LocalFuture, timeout_at};
use rollout::{StreamProgress, is_slow_stream};

use crate::active_request::ActiveRequest;
use crate::answer_end::{AnswerEnd, Doubt, judge_end, judge_life};
use crate::continuation::continuation_mismatch;
use crate::dispatch::StartedResponse;
use crate::events::{Event, EventSplitter};
use crate::late_runs::LateRunDecision;
use crate::outcome::{Outcome, StreamRecord};
use crate::pace_meter::{PaceMeter, PaceSample};
use crate::projection::{MovePlan, Projection};
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::stall::Stall;
use crate::version_counters::{CallOutcome, Measured};
use crate::witnessing::Witnessing;

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
    /// Whether the caller received an event that a run which resumes could repeat, as it has no number.
    has_unnumbered: bool,
    /// Whether the current run goes on after an earlier one.
    is_continuation: bool,
    /// Whether the last run that brought events may have ended as a whole, which is not known.
    may_be_whole: bool,
    witnessing: Witnessing,
    /// Events of the current run, and its start.
    events: u32,
    run_started: Instant,
    pace_meter: PaceMeter,
    /// Earlier runs that brought events.
    earlier_runs: u32,
    /// Whether the outcome of the current run was recorded for its version.
    is_recorded: bool,
    projection: Projection,
    stall: Stall,
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
        let projection = Projection::new(&request);
        Stream {
            context,
            request,
            response,
            splitter: EventSplitter::default(),
            last_id,
            has_unnumbered: false,
            is_continuation: false,
            may_be_whole: false,
            witnessing: Witnessing::default(),
            events: 0,
            run_started: Instant::now(),
            pace_meter: PaceMeter::default(),
            earlier_runs: 0,
            is_recorded,
            projection,
            stall: Stall::new(gap),
            waits_for_deadline: false,
            log,
            ended: false,
        }
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, BodyError> {
        self.projection.begin_read();
        self.check_pace().await;
        self.pace_meter.resume(Instant::now());
        loop {
            let began = Instant::now();
            let err = match self.read_event().await {
                Ok(Some(event)) => match self.record(&event, began.elapsed()) {
                    Ok(()) => {
                        self.pace_meter.suspend(Instant::now());
                        return Ok(Some(event.bytes));
                    }
                    Err(err) => err,
                },
                Ok(None) if self.is_continuation && self.events == 0 && !self.may_be_whole => {
                    invalid("the run that resumes brings no event".to_owned())
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

    /// Records the pace of the run, also of one that will be cut, and moves the run if it is not expected
    /// to end by the deadline and would at another endpoint.
    async fn check_pace(&mut self) {
        if self.response.carried.is_some() || !self.context.settings.learns_runs() {
            return;
        }
        let Some(event_ms) = self.projection.next_pace() else {
            return;
        };
        let key = self.request.baseline_key();
        let now_ms = self.context.now_ms();
        self.context.run_book.record_pace(&key, event_ms, now_ms);
        let can_move = !self.has_unnumbered
            && self.last_id.is_some()
            && self.request.carried.is_none()
            && self.request.may_repeat_after_run();
        let (context, request) = (&self.context, &self.request);
        let plan = self
            .projection
            .plan_move(context, request, &self.response, event_ms, can_move);
        if let Some(plan) = plan {
            self.move_run(plan).await;
        }
    }

    /// Moves the run. It goes on where it is if no other endpoint begins in time.
    async fn move_run(&mut self, mut plan: MovePlan) {
        self.projection.record_move();
        let start = self.request.begin_move(std::mem::take(&mut plan.excluded));
        let dispatch = self.request.dispatch(&self.context, self.last_id);
        let started = async {
            dispatch
                .await
                .map_err(|failure| io::Error::other(failure.to_string()))
        };
        let started = timeout_at(Instant::now() + plan.start_time, started).await;
        let response = match started {
            Ok(response) => response,
            Err(_) => {
                self.request.undo_move(start);
                return plan.log(&self.context, &self.request, LateRunDecision::GoesOn);
            }
        };
        if let Some(mismatch) = continuation_mismatch(&self.response.head, &response.head) {
            self.reject_run(&response, &mismatch);
            self.request.is_sent = false;
            return self.request.undo_move(start);
        }
        self.request.end_move(start, &response.endpoint);
        plan.log(&self.context, &self.request, LateRunDecision::Moved);
        self.record_version_outcome(true);
        self.switch_to(response);
    }

    /// Records an event or a comment.
    ///
    /// # Errors
    ///
    /// Fails if the run brings too many comments and no event.
    fn record(&mut self, event: &Event, waited: Duration) -> io::Result<()> {
        if event.is_comment() {
            return self.stall.record_comment(event.bytes.len(), waited);
        }
        self.stall.reset();
        self.record_event(event, waited);
        Ok(())
    }

    fn record_event(&mut self, event: &Event, waited: Duration) {
        self.events += 1;
        let sample = self.pace_meter.record_event(Instant::now());
        self.record_pace(sample);
        let max_gap_ms = self.request.route.max_gap_ms;
        self.projection.record_event(waited, max_gap_ms);
        self.may_be_whole = false;
        self.record_version_outcome(false);
        if event.id.is_none() {
            self.has_unnumbered = true;
            self.forbid_repeat();
        }
        self.last_id = event.id.or(self.last_id);
    }

    /// Records that the current run may not be repeated, as its events have no numbers.
    fn forbid_repeat(&mut self) {
        if let Some(running) = &mut self.response.running {
            running.forbid_repeat();
        }
    }

    /// Reads the next complete event of the current run.
    async fn read_event(&mut self) -> io::Result<Option<Event>> {
        loop {
            // Events that have arrived are read without a wait in which a deadline would be noticed.
            let now = Instant::now();
            let until = self.read_deadline(now);
            if until <= now {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if let Some(event) = self.splitter.next() {
                return self.check_order(event).map(Some);
            }
            if self.splitter.pending_bytes() > MAX_EVENT_BYTES {
                let message = format!("an event exceeds {MAX_EVENT_BYTES} bytes");
                return Err(invalid(message));
            }
            let read = timeout_at(until, self.read_bytes()).await;
            match read? {
                Some(bytes) => {
                    let now_ms = self.context.now_ms();
                    self.response.call_guard.record_received(now_ms);
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

    /// Reads the next bytes of the current run, and has a witness of it meanwhile if only the end of the
    /// connection is to end it.
    async fn read_bytes(&mut self) -> io::Result<Option<Bytes>> {
        let StartedResponse {
            exchange,
            endpoint,
            call_guard,
            ..
        } = &mut *self.response;
        if !exchange.ends_with_connection() {
            return exchange.next().await;
        }
        let state = &call_guard.endpoint_state;
        self.witnessing
            .while_reading(&self.context, endpoint, state, exchange.next())
            .await
    }

    /// Checks that the current run is complete.
    ///
    /// A run that goes on after one whose end is in doubt tells whether that was whole: it brings no event
    /// then, but may end with its connection like that one.
    async fn check_end(&mut self) -> io::Result<()> {
        let StartedResponse {
            exchange,
            endpoint,
            call_guard,
            ..
        } = &*self.response;
        let state = &call_guard.endpoint_state;
        let brings_nothing = exchange.ends_with_connection() && exchange.is_empty();
        let may_repeat = self.request.may_repeat_after_run() && !self.has_unnumbered;
        let doubt = Doubt::new(&self.context, exchange, call_guard, may_repeat);
        let end = if self.may_be_whole && brings_nothing {
            judge_life(&self.context, &mut self.request, endpoint, state, doubt).await
        } else {
            judge_end(
                &self.context,
                &mut self.request,
                exchange,
                endpoint,
                state,
                doubt,
            )
            .await
        };
        if self.events > 0 {
            self.may_be_whole = matches!(end, AnswerEnd::Doubtful(_));
        }
        end.check_whole()
    }

    /// Returns until when bytes are waited for from now on.
    fn read_deadline(&self, now: Instant) -> Instant {
        if self.waits_for_deadline {
            return self.request.deadline;
        }
        // A peer that carries the request notices a stall first.
        let extra = if self.response.carried.is_some() {
            PEER_RESUME_TIME
        } else {
            Duration::ZERO
        };
        (now + self.stall.remaining() + extra).min(self.request.deadline)
    }

    /// Checks that no event is missing or duplicated, and that a run which resumes brings numbered events.
    fn check_order(&self, event: Event) -> io::Result<Event> {
        match (event.id, self.last_id) {
            (Some(id), Some(last)) if id != last + 1 => {
                Err(invalid(format!("event {id} follows event {last}")))
            }
            (None, Some(last)) if self.is_continuation && !event.is_comment() => Err(invalid(
                format!("an event without a number follows event {last} in a run that resumes"),
            )),
            _ => Ok(event),
        }
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
        if err.kind() == io::ErrorKind::ConnectionReset {
            endpoint_state.witness.record_reset();
        }
        self.request
            .record_broken(&self.context, &endpoint, &endpoint_state, err);
        let sent_at = self.response.sent_at;
        self.request
            .log_send(&endpoint, "stream broke", &why, sent_at);
        let carried = self.response.carried.as_ref();
        let runs = carried.map_or(1, |call| call.granted_runs);
        self.request.record_runs(Verdict::Ran, runs);
        self.request.is_resumed = true;
        let failure = match self.start_next_run(why).await {
            Ok(()) => return Ok(()),
            Err(failure) => failure,
        };
        if is_silent {
            self.waits_for_deadline = true;
            return Ok(());
        }
        Err(self.abort(&failure))
    }

    /// Starts a run that goes on after the last event, or returns why there is none; `why` the last run
    /// broke, if no other is allowed.
    async fn start_next_run(&mut self, why: String) -> Result<(), String> {
        if self.has_unnumbered {
            return Err(format!("{why}; events without a number cannot be resumed"));
        }
        if !self.request.may_retry() {
            return Err(why);
        }
        if self.request.carried.is_none() {
            let written = self.projection.written(&self.request);
            self.request.size = self.request.choose_resumed_size(&self.context, written);
        }
        loop {
            let dispatched = self.request.dispatch(&self.context, self.last_id).await;
            let response = dispatched.map_err(|failure| failure.to_string())?;
            let Some(mismatch) = continuation_mismatch(&self.response.head, &response.head) else {
                self.switch_to(response);
                return Ok(());
            };
            self.reject_run(&response, &mismatch);
        }
    }

    /// Records a response that does not go on with the stream.
    fn reject_run(&mut self, response: &StartedResponse, mismatch: &str) {
        let endpoint_state = &response.call_guard.endpoint_state;
        endpoint_state.record_outcome(true, self.context.now_ms());
        let runs = response
            .carried
            .as_ref()
            .map_or(1, |call| call.granted_runs);
        self.request.record_runs(Verdict::Ran, runs);
        self.request.log_send(
            &response.endpoint,
            "no continuation",
            mismatch,
            response.sent_at,
        );
    }

    fn switch_to(&mut self, response: Box<StartedResponse>) {
        self.is_recorded = response.carried.is_some();
        self.response = response;
        self.splitter.clear();
        self.stall.reset();
        self.earlier_runs += u32::from(self.events > 0);
        self.is_continuation = true;
        self.events = 0;
        self.witnessing = Witnessing::default();
        self.run_started = Instant::now();
        self.pace_meter = PaceMeter::default();
        self.projection.start_run();
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

    /// Records the time between some events relative to what is usual for the size of the model.
    fn record_pace(&self, sample: Option<PaceSample>) {
        let baselines = &self.context.baselines;
        let usual_ms = baselines.event_ms(&self.request.baseline_key());
        let (Some(sample), Some(usual_ms)) = (sample, usual_ms) else {
            return;
        };
        if self.response.carried.is_some() {
            return;
        }
        let state = &self.response.call_guard.endpoint_state;
        let ratio = sample.event_ms / usual_ms;
        state
            .pace
            .record(ratio, sample.weight, self.context.now_ms());
    }

    fn finish(&mut self) {
        self.ended = true;
        let sample = self.pace_meter.take(Instant::now());
        self.record_pace(sample);
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
        let is_whole = matches!(outcome, Outcome::Answered(_));
        self.projection
            .record_end(&self.context, &self.request, &self.response, is_whole);
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

fn invalid(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
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
