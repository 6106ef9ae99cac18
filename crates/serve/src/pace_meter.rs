//! Measurement of the time between the events of a stream while it is being written.

use std::time::{Duration, Instant};

/// Fewest events of a sample.
const MIN_EVENTS: u32 = 4;

/// Events from which a sample has the full weight.
const FULL_WEIGHT_EVENTS: f64 = 8.0;

/// Shortest time of a sample of a stream that goes on.
const SAMPLE_TIME: Duration = Duration::from_secs(1);

/// Part of a sample's time in which the caller may keep the stream waiting. Beyond it the events were
/// ready before they were read, and their times say nothing of the endpoint.
const MAX_HELD_UP_PART: f64 = 0.25;

/// The time between some consecutive events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PaceSample {
    pub(crate) event_ms: f64,
    pub(crate) weight: f64,
}

/// Measures the time between the events of one run.
#[derive(Debug, Default)]
pub(crate) struct PaceMeter {
    /// When the event before the first one of the current sample arrived.
    since: Option<Instant>,
    events: u32,
    held_up: Duration,
    /// Since when the caller has not asked for a further event, if it has not.
    waits_since: Option<Instant>,
}

impl PaceMeter {
    /// Records that the caller takes an event, and asks for no other until [`PaceMeter::resume`].
    pub(crate) fn suspend(&mut self, now: Instant) {
        self.waits_since = Some(now);
    }

    /// Records that the caller asks for the next event.
    pub(crate) fn resume(&mut self, now: Instant) {
        if let Some(since) = self.waits_since.take() {
            self.held_up += now.duration_since(since);
        }
    }

    /// Records an event, and returns a sample when there are enough.
    pub(crate) fn record_event(&mut self, now: Instant) -> Option<PaceSample> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events += 1;
        if now.duration_since(since) < SAMPLE_TIME {
            return None;
        }
        self.take(now)
    }

    /// Returns a sample of the events so far, if they are enough, and begins the next one.
    pub(crate) fn take(&mut self, now: Instant) -> Option<PaceSample> {
        if self.events < MIN_EVENTS {
            return None;
        }
        let since = self.since.replace(now)?;
        let events = f64::from(std::mem::take(&mut self.events));
        let held_up = std::mem::take(&mut self.held_up);
        let elapsed = now.duration_since(since);
        if elapsed.is_zero() || held_up > elapsed.mul_f64(MAX_HELD_UP_PART) {
            return None;
        }
        Some(PaceSample {
            event_ms: elapsed.as_secs_f64() * 1_000.0 / events,
            weight: (events / FULL_WEIGHT_EVENTS).min(1.0),
        })
    }
}
