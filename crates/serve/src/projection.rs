//! Progress of a stream, by which its end is projected.
//!
//! It is meant for streams of a known length on endpoints of different speeds: after a few events
//! the pace is known, long before the deadline.

use std::time::{Duration, Instant};

use crate::active_request::ActiveRequest;
use crate::dispatch::StartedResponse;
use crate::request_context::RequestContext;

/// Events of a run after which its pace is first read. It is read again each time that their number
/// has doubled.
const FIRST_CHECKED_EVENTS: u32 = 4;

/// Largest part of the time of a run in which its caller leaves the stream unread. Beyond it, the
/// waits for events do not show the pace of the endpoint.
const MAX_UNREAD_PART: f64 = 0.25;

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
}

impl Projection {
    /// Records that the caller wants the next event.
    pub(crate) fn begin_read(&mut self) {
        if let Some(returned_at) = self.returned_at.take() {
            self.unread += returned_at.elapsed();
        }
    }

    /// Records an event that was waited for.
    pub(crate) fn record_event(&mut self, waited: Duration) {
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

    /// Records the length of an answer that has ended, whole or cut.
    pub(crate) fn record_end(
        &self,
        context: &RequestContext,
        request: &ActiveRequest,
        response: &StartedResponse,
        is_whole: bool,
    ) {
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
