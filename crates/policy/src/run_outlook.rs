//! Whether a run of a model ends by a deadline.
//!
//! It is meant for loads in which the largest size takes ten times the time per token of the
//! smallest, and slow endpoints write too few events before the deadline.

use crate::answer_length::AnswerLength;

/// Quantiles of a normal distribution, in standard deviations, that each stand for a fifth of it.
const FIFTHS: [f64; 5] = [-1.2816, -0.5244, 0.0, 0.5244, 1.2816];

/// Chance from which a run counts as certain to end in time, so that runs which end with ease are
/// decided on as if there were no deadline.
const CERTAIN_CHANCE: f64 = 0.95;

/// Chance below which a run cannot end in time for the decisions that cost its caller an answer.
const HOPELESS_CHANCE: f64 = 0.05;

/// The same chance as a quantile of a normal distribution, in standard deviations.
const HOPELESS_DEVIATIONS: f64 = -1.6449;

/// Returns whether a run with this chance of an end by the deadline counts as one that cannot.
pub fn is_hopeless(end_chance: f64) -> bool {
    end_chance < HOPELESS_CHANCE
}

/// What is expected of one run from its first event on.
///
/// # Examples
///
/// ```
/// use policy::{AnswerLength, RunOutlook};
///
/// let length = AnswerLength { median_events: 36.0, spread: 0.4, max_events: f64::INFINITY };
/// let run = RunOutlook { event_ms: 480.0, pace_spread: 0.2, length, written: 0.0 };
/// assert!(run.end_chance(10_000.0) < 0.2);
/// assert_eq!(run.end_chance(60_000.0), 1.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunOutlook {
    /// The median time per event, in milliseconds.
    pub event_ms: f64,
    /// The standard deviation of its logarithm.
    pub pace_spread: f64,
    /// The length of the whole answer.
    pub length: AnswerLength,
    /// Events of the answer that are there already.
    pub written: f64,
}

impl RunOutlook {
    /// Returns the chance that the run ends within a time from its first event on, in milliseconds.
    pub fn end_chance(&self, time_ms: f64) -> f64 {
        if time_ms <= 0.0 {
            return 0.0;
        }
        let mut sum = 0.0;
        for deviations in FIFTHS {
            let event_ms = self.event_ms * (deviations * self.pace_spread).exp();
            let events = self.written + time_ms / event_ms.max(f64::EPSILON);
            sum += self.length.end_chance(self.written, events);
        }
        let chance = sum / FIFTHS.len() as f64;
        if chance >= CERTAIN_CHANCE {
            1.0
        } else {
            chance
        }
    }

    /// Returns the time from the first event on, in milliseconds, below which the run hardly ends; 0 if its
    /// answer may be whole already.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{AnswerLength, RunOutlook};
    ///
    /// let length = AnswerLength { median_events: 36.0, spread: 0.4, max_events: f64::INFINITY };
    /// let run = RunOutlook { event_ms: 480.0, pace_spread: 0.2, length, written: 0.0 };
    /// assert!(run.end_chance(run.least_ms()) < 0.1);
    /// assert!(run.end_chance(2.0 * run.least_ms()) > 0.3);
    /// ```
    pub fn least_ms(&self) -> f64 {
        let spread = self.length.spread.hypot(self.pace_spread);
        let least_factor = (HOPELESS_DEVIATIONS * spread).exp();
        let length = (self.length.median_events * least_factor).min(self.length.max_events);
        self.event_ms * (length - self.written).max(0.0)
    }

    /// Returns the run at an endpoint whose time per event is `ratio` times the usual.
    pub fn at_ratio(self, ratio: f64) -> RunOutlook {
        RunOutlook {
            event_ms: self.event_ms * ratio,
            ..self
        }
    }

    /// Returns the run with what its first events show of its pace: a mean of `event_ms` over
    /// `events` of them.
    ///
    /// The expectation weighs as much as one event, since endpoints differ more than the events of one.
    pub fn observed(self, event_ms: f64, events: f64) -> RunOutlook {
        const PRIOR_EVENTS: f64 = 1.0;
        if event_ms <= 0.0 || self.event_ms <= 0.0 {
            return self;
        }
        let prior = PRIOR_EVENTS / (PRIOR_EVENTS + events);
        let logarithm = prior * self.event_ms.ln() + (1.0 - prior) * event_ms.ln();
        RunOutlook {
            event_ms: logarithm.exp(),
            pace_spread: self.pace_spread * prior.sqrt(),
            ..self
        }
    }

    /// Returns the part of the median length that is there already.
    pub fn written_part(&self) -> f64 {
        self.written / self.length.median_events.max(1.0)
    }
}
