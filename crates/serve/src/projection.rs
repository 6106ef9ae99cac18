//! Progress of a stream, by which its end is projected, and the move of a run that would end too late.
//!
//! It is meant for streams of a known length on endpoints of different speeds: after a few events
//! the pace is known, long before the deadline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kernel::Verdict;
use limits::Health;
use policy::{Cascade, RunEnd, RunOutlook, SizeOutlook};

use crate::active_request::ActiveRequest;
use crate::completion::endpoint_ratio;
use crate::dispatch::StartedResponse;
use crate::endpoint::Endpoint;
use crate::evacuation::eligible;
use crate::late_runs::LateRunDecision;
use crate::request_context::RequestContext;
use crate::run::Run;

/// Events of a run after which its pace is first read. It is read again each time that their number
/// has doubled.
const FIRST_CHECKED_EVENTS: u32 = 4;

/// Largest part of the time of a run in which its caller leaves the stream unread. Beyond it, the
/// waits for events do not show the pace of the endpoint.
const MAX_UNREAD_PART: f64 = 0.25;

/// Part of the expected length after which a run stays where it is. What is left is soon there, and
/// reading the prompt again takes a large part of it.
const LAST_PART: f64 = 0.75;

/// Largest time per event of an endpoint to which a run moves, relative to the pace that it has.
/// Smaller differences are within the errors of both.
const MAX_MOVED_PACE: f64 = 0.8;

/// Gaps in a stream after which callers disconnect: at least two seconds, four times the objective, and
/// eight times the largest gap. The longest of them counts.
const MIN_CALLER_PATIENCE_MS: f64 = 2_000.0;
const PATIENCE_OBJECTIVES: f64 = 4.0;
const PATIENCE_GAPS: f64 = 8.0;

/// Part of the callers' patience that starting a run elsewhere may take. The rest is left for the run
/// that goes on if it does not start.
const MAX_MOVE_PART: f64 = 0.5;

/// Time for starting a run elsewhere, as a multiple of what is expected, and at least, in milliseconds.
const START_TIME_FACTOR: f64 = 2.0;
const MIN_START_TIME_MS: f64 = 500.0;

const MS_PER_S: f64 = 1_000.0;

/// Events of a stream and the time that they took.
#[derive(Debug, Default)]
pub(crate) struct Projection {
    /// Events of the answer, over all runs.
    answer_events: u32,
    run_events: u32,
    /// Events of the run when its pace was last read.
    checked_events: u32,
    /// Time that this instance waited for events of the run, and that the caller left it unread.
    waited: Duration,
    unread: Duration,
    returned_at: Option<Instant>,
    /// Whether the answer is late for its caller already.
    is_late: bool,
    /// Whether the answer has moved, and whether it is logged that it goes on.
    has_moved: bool,
    is_logged: bool,
}

impl Projection {
    /// Creates the projection of an answer whose head has arrived.
    pub(crate) fn new(request: &ActiveRequest) -> Projection {
        let elapsed_ms = request.inbound.received_at.elapsed().as_millis();
        Projection {
            is_late: elapsed_ms > u128::from(request.route.objective_ms),
            ..Projection::default()
        }
    }

    /// Records that a run of the answer was moved, or tried to be; this happens once.
    pub(crate) fn record_move(&mut self) {
        self.has_moved = true;
    }

    /// Records that the caller wants the next event.
    pub(crate) fn begin_read(&mut self) {
        if let Some(returned_at) = self.returned_at.take() {
            self.unread += returned_at.elapsed();
        }
    }

    /// Records an event that was waited for.
    pub(crate) fn record_event(&mut self, waited: Duration, max_gap_ms: Option<u64>) {
        let is_gap = max_gap_ms.is_some_and(|gap_ms| waited.as_millis() > u128::from(gap_ms));
        self.is_late |= is_gap && self.answer_events > 0;
        // The first event shows the wait for the engine.
        if self.run_events > 0 {
            self.waited += waited;
        }
        self.answer_events += 1;
        self.run_events += 1;
        self.returned_at = Some(Instant::now());
    }

    /// Records that another run goes on with the answer.
    pub(crate) fn start_run(&mut self) {
        *self = Projection {
            answer_events: self.answer_events,
            is_late: self.is_late,
            has_moved: self.has_moved,
            is_logged: self.is_logged,
            ..Projection::default()
        };
    }

    /// Returns the events of the answer that its caller has.
    pub(crate) fn written(&self, request: &ActiveRequest) -> f64 {
        request.events_before() + f64::from(self.answer_events)
    }

    /// Returns the mean time per event of the run, in milliseconds, at fixed numbers of events.
    pub(crate) fn next_pace(&mut self) -> Option<f64> {
        let is_due = self.run_events >= FIRST_CHECKED_EVENTS && self.run_events.is_power_of_two();
        if !is_due || self.run_events == self.checked_events {
            return None;
        }
        self.checked_events = self.run_events;
        let is_read = self.unread.as_secs_f64() <= self.waited.as_secs_f64() * MAX_UNREAD_PART;
        let event_ms = self.waited.as_secs_f64() * MS_PER_S / f64::from(self.run_events - 1);
        is_read.then_some(event_ms)
    }

    /// Returns where the run is better moved, after `event_ms` for each of its events.
    pub(crate) fn plan_move(
        &mut self,
        context: &RequestContext,
        request: &ActiveRequest,
        response: &StartedResponse,
        event_ms: f64,
        can_move: bool,
    ) -> Option<MovePlan> {
        let now_ms = context.now_ms();
        let run = request.weighed_outlook(context, request.size, self.written(request))?;
        let left_ms = request.deadline_left_ms();
        let ratio = endpoint_ratio(&response.call_guard.endpoint_state, now_ms);
        let here = run
            .at_ratio(ratio)
            .observed(event_ms, f64::from(self.run_events));
        let chance = here.end_chance(left_ms);
        if chance >= 1.0 {
            return None;
        }
        let is_movable = can_move && !self.has_moved && here.written_part() < LAST_PART;
        let plan = is_movable
            .then(|| self.plan_at(context, request, &run, &here, chance))
            .flatten();
        if plan.is_none() && !Cascade::is_expected(chance) && !self.is_logged {
            self.is_logged = true;
            request.log_late_run(context, LateRunDecision::GoesOn, chance, None);
        }
        plan
    }

    /// Returns the endpoints where the run is better moved. `run` is expected at an ordinary endpoint,
    /// and `here` at the present one, with `chance` to end by the deadline.
    fn plan_at(
        &self,
        context: &RequestContext,
        request: &ActiveRequest,
        run: &RunOutlook,
        here: &RunOutlook,
        chance: f64,
    ) -> Option<MovePlan> {
        if !request.may_escalate(context) {
            return None;
        }
        let now_ms = context.now_ms();
        let left_ms = request.deadline_left_ms();
        let wait_share = context.baselines.wait_share(&request.service);
        let wait_ms = wait_share * request.route.objective_ms as f64;
        let first_ms = wait_ms + request.reading_ms(context);
        let outlook = SizeOutlook {
            good_share: 1.0,
            relative_time: request.relative_time(context),
            first_event_ms: first_ms,
            run: Some(*run),
        };
        let repeated_part = first_ms / (first_ms + run.event_ms * run.length.median_events);
        let cascade = request.cascade(context, 0.5);
        let max_gap_ms = request
            .route
            .max_gap_ms
            .map_or(f64::INFINITY, |gap_ms| gap_ms as f64);
        let end = |chance, is_late| RunEnd { chance, is_late };
        let view = context.view();
        let pool = view.pools.get(&request.service)?;
        let mut plan = MovePlan {
            excluded: Vec::new(),
            start_time: Duration::ZERO,
            chance,
            other: 0.0,
        };
        for endpoint in eligible(request, &view, pool, now_ms) {
            let state = context.endpoint_states.of(endpoint);
            let ratio = endpoint_ratio(&state, now_ms);
            let there = run.at_ratio(ratio);
            let start_ms = first_ms * ratio;
            let other = there.end_chance(left_ms - start_ms);
            let is_late = self.is_late || start_ms > max_gap_ms;
            let is_open = state.health(now_ms) == Health::Usable
                && !request.tried.contains(&Run::of(endpoint))
                && there.event_ms <= here.event_ms * MAX_MOVED_PACE;
            let (here_end, there_end) = (end(chance, self.is_late), end(other, is_late));
            if !is_open || !cascade.is_move_worth(&outlook, here_end, there_end, repeated_part) {
                plan.excluded.push(Run::of(endpoint));
                continue;
            }
            if other > plan.other {
                plan.other = other;
                let longest_ms = request.caller_patience_ms() * MAX_MOVE_PART;
                let time_ms = (start_ms * START_TIME_FACTOR).max(MIN_START_TIME_MS);
                plan.start_time = Duration::from_millis(time_ms.min(longest_ms) as u64);
            }
        }
        (plan.other > 0.0).then_some(plan)
    }

    /// Records the length of an answer that has ended, whole or cut.
    pub(crate) fn record_end(
        &self,
        context: &RequestContext,
        request: &ActiveRequest,
        response: &StartedResponse,
        is_whole: bool,
    ) {
        if !context.settings.learns_runs() {
            return;
        }
        // A peer records what it carries, and a caller that resumes has a part of the answer already.
        if response.carried.is_some() || request.info.resume_after.is_some() {
            return;
        }
        let key = request.length_key(request.size);
        let hint = request.info.length_hint;
        let book = &context.run_book;
        book.record_length(key, self.answer_events, hint, is_whole);
    }
}

/// Where a run may move to.
#[derive(Debug)]
pub(crate) struct MovePlan {
    /// Endpoints at which the run is not expected to end by the deadline.
    pub(crate) excluded: Vec<Run>,
    /// Time in which it must start.
    pub(crate) start_time: Duration,
    /// The chance of an end here and at the best endpoint.
    chance: f64,
    other: f64,
}

impl MovePlan {
    /// Counts and logs what became of the move.
    pub(crate) fn log(
        &self,
        context: &RequestContext,
        request: &ActiveRequest,
        decision: LateRunDecision,
    ) {
        request.log_late_run(context, decision, self.chance, Some(self.other));
    }
}

/// What a request was like before an attempt to move its run.
#[derive(Debug)]
pub(crate) struct MoveStart {
    tried: Vec<Run>,
    last_endpoint: Option<Arc<Endpoint>>,
    is_resumed: bool,
}

impl ActiveRequest {
    /// Prepares sends to other endpoints than those that are excluded. The current run counts as one
    /// that has ended.
    pub(crate) fn begin_move(&mut self, excluded: Vec<Run>) -> MoveStart {
        let start = MoveStart {
            tried: std::mem::replace(&mut self.tried, excluded),
            last_endpoint: self.last_endpoint.clone(),
            is_resumed: std::mem::replace(&mut self.is_resumed, true),
        };
        self.record_run(Verdict::Ran);
        self.is_moving = true;
        self.is_sent = false;
        start
    }

    /// Records that the run has moved to an endpoint.
    pub(crate) fn end_move(&mut self, start: MoveStart, endpoint: &Endpoint) {
        self.is_moving = false;
        self.tried = start.tried;
        self.tried.push(Run::of(endpoint));
    }

    /// Records that the run goes on where it was.
    pub(crate) fn undo_move(&mut self, start: MoveStart) {
        self.is_moving = false;
        if std::mem::replace(&mut self.is_sent, true) {
            // A send was given up before its answer.
            self.record_run(Verdict::MayHaveRun);
            self.repeats.record_silence();
        }
        self.runs -= 1;
        self.tried = start.tried;
        self.last_endpoint = start.last_endpoint;
        self.is_resumed = start.is_resumed;
    }

    /// Returns the longest gap in a stream that its caller waits out, in milliseconds.
    fn caller_patience_ms(&self) -> f64 {
        let objective_ms = self.route.objective_ms as f64 * PATIENCE_OBJECTIVES;
        let gap_ms = self.route.max_gap_ms.unwrap_or_default() as f64 * PATIENCE_GAPS;
        MIN_CALLER_PATIENCE_MS.max(objective_ms).max(gap_ms)
    }
}
