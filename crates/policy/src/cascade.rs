//! The cascade over the sizes of a model, by the expected gain of each further run.
//!
//! It is meant for loads in which smaller sizes serve most requests, larger ones cost many times as
//! much engine time, and confidence tells which requests need them. All gains and costs are in good
//! answers in time, of which a request is worth one. An answer that does not end by the deadline is
//! worth nothing, so that the chance of its end weighs the value of each run.

use crate::run_outlook::{RunOutlook, is_hopeless};
use crate::size_estimates::EVEN_CONFIDENCE;

/// Points of confidence over which the odds of a good answer change by a factor of e.
const CONFIDENCE_SCALE: f64 = 6.0;

/// The mean wait, as a share of the latency objective, that costs no request its objective.
const FREE_WAIT_SHARE: f64 = 0.05;

/// The cost of a run of the largest size, in good answers, when requests wait for their whole
/// objective. A run then makes several other requests late.
const FULL_WAIT_COST: f64 = 2.0;

/// Half of the range over which the costs of requests differ at the same wait, relative to the cost.
/// Without it, all requests of one confidence would change their size at the same moment.
const COST_SPREAD: f64 = 0.2;

/// The cost of any run, in good answers: a connection, a part of the retry budget, and time.
const RUN_COST: f64 = 0.05;

/// Share of requests answered well below which a size is skipped. A more useful one costs less than
/// an error in the estimates would.
const MIN_USEFUL_SHARE: f64 = 0.12;

/// The gain by which a size in between must exceed the largest. Few answers of it are known.
const MIN_DETOUR_GAIN: f64 = 0.15;

/// The value of a good answer after the objective.
const LATE_VALUE: f64 = 0.4;

/// The chance of an end by the deadline from which a run is expected to end there.
const EXPECTED_CHANCE: f64 = 0.5;

/// What is expected of one size for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizeOutlook {
    /// The share of all requests that the size answers well, from 0 to 1.
    pub good_share: f64,
    /// The engine time of a run, where 1 is that of the largest size.
    pub relative_time: f64,
    /// The time from now to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// What follows the first event; `None` while it is not known, which counts as in time.
    pub run: Option<RunOutlook>,
}

impl SizeOutlook {
    /// Returns the chance that a run ends within a time, in milliseconds.
    pub fn end_chance(&self, time_ms: f64) -> f64 {
        let Some(run) = &self.run else {
            return 1.0;
        };
        run.end_chance(time_ms - self.first_event_ms)
    }
}

/// The answer that a request has so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CurrentAnswer {
    /// Index of the size that gave it.
    pub size: usize,
    /// Confidence of the size, from 0 to 100; `None` counts as unsure.
    pub confidence: Option<u8>,
    /// The time left to the latency objective, in milliseconds; 0 or below once it has passed.
    pub objective_left_ms: f64,
    /// The chance that it ends by the deadline.
    pub end_chance: f64,
}

/// How a run that has begun is expected to end, here or at another endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunEnd {
    /// The chance of an end by the deadline.
    pub chance: f64,
    /// Whether the answer is late for its caller.
    pub is_late: bool,
}

/// Chooses the size of each run.
///
/// # Examples
///
/// ```
/// use policy::{Cascade, CurrentAnswer, SizeOutlook};
///
/// let size = |good_share, relative_time| SizeOutlook {
///     good_share,
///     relative_time,
///     first_event_ms: 100.0,
///     run: None,
/// };
/// let sizes = [size(0.55, 0.1), size(1.0, 1.0)];
/// let cascade = Cascade::new(0.3, 0.0, 0.5);
/// assert_eq!(cascade.first_size(&sizes, 1_000.0, 3), 0);
/// let answer =
///     CurrentAnswer { size: 0, confidence: Some(20), objective_left_ms: 900.0, end_chance: 1.0 };
/// assert_eq!(cascade.next_size(&sizes, &answer, 2), Some(1));
/// let sure = CurrentAnswer { confidence: Some(80), ..answer };
/// assert_eq!(cascade.next_size(&sizes, &sure, 2), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cascade {
    largest_run_cost: f64,
    deadline_left_ms: f64,
}

impl Cascade {
    /// Creates a cascade for one request.
    ///
    /// `idle_cost` is the cost of a run of the largest size on idle engines, in good answers,
    /// `wait_share` the mean wait as a share of the latency objective, and `uniform` a number of the
    /// request's own from 0 to below 1.
    pub fn new(idle_cost: f64, wait_share: f64, uniform: f64) -> Cascade {
        let cost = idle_cost + FULL_WAIT_COST * (wait_share - FREE_WAIT_SHARE).max(0.0);
        Cascade {
            largest_run_cost: cost * (1.0 + COST_SPREAD * (2.0 * uniform - 1.0)),
            deadline_left_ms: f64::INFINITY,
        }
    }

    /// Sets the time left to the deadline, in milliseconds. Without it all runs end in time.
    pub fn deadline_left_ms(mut self, left_ms: f64) -> Cascade {
        self.deadline_left_ms = left_ms;
        self
    }

    /// Returns the size of the first of at most `max_runs` runs, for a request with this time left to
    /// its latency objective.
    ///
    /// It is the smallest one that is of use, or the one with the largest gain if no further run may
    /// follow. Where that one cannot end by the deadline, it is the one most likely to.
    pub fn first_size(
        &self,
        sizes: &[SizeOutlook],
        objective_left_ms: f64,
        max_runs: u32,
    ) -> usize {
        let largest = sizes.len().saturating_sub(1);
        if max_runs > 1 {
            let is_useful = |size: &SizeOutlook| size.good_share >= MIN_USEFUL_SHARE;
            let first = sizes.iter().position(is_useful).unwrap_or(largest);
            return self.size_that_ends(sizes, first);
        }
        let path = Path {
            sizes,
            too_hard_for: None,
            objective_left_ms,
            deadline_left_ms: self.deadline_left_ms,
            max_runs,
        };
        let mut best = (f64::NEG_INFINITY, 0);
        for size in 0..sizes.len() {
            let gain = self.path_gain(&path, size);
            if gain > best.0 {
                best = (gain, size);
            }
        }
        self.size_that_ends(sizes, best.1)
    }

    /// Returns a size, or the smaller one most likely to end by the deadline if that one cannot.
    pub fn size_that_ends(&self, sizes: &[SizeOutlook], size: usize) -> usize {
        let chance_of = |size: &SizeOutlook| size.end_chance(self.deadline_left_ms);
        let Some(chosen) = sizes.get(size) else {
            return size;
        };
        let mut best = (chance_of(chosen), size);
        if !is_hopeless(best.0) {
            return size;
        }
        for smaller in (0..size).rev() {
            let chance = chance_of(&sizes[smaller]);
            if chance > best.0 {
                best = (chance, smaller);
            }
        }
        best.1
    }

    /// Returns the size to run after an answer, or `None` if the answer is better kept.
    pub fn next_size(
        &self,
        sizes: &[SizeOutlook],
        answer: &CurrentAnswer,
        max_runs: u32,
    ) -> Option<usize> {
        if max_runs == 0 {
            return None;
        }
        let good = good_chance(answer.confidence);
        let kept_value = value_at(answer.objective_left_ms);
        let path = Path {
            sizes,
            too_hard_for: Some(answer.size),
            objective_left_ms: answer.objective_left_ms,
            deadline_left_ms: self.deadline_left_ms,
            max_runs,
        };
        let mut best = (0.0, None);
        for size in answer.size + 1..sizes.len() {
            let is_largest = size + 1 == sizes.len();
            let margin = if is_largest { 0.0 } else { MIN_DETOUR_GAIN };
            let cost = self.run_cost(&sizes[size]);
            let found_value = self.path_gain(&path, size) + cost;
            let chance = sizes[size].end_chance(self.deadline_left_ms);
            let value = chance * value_at(answer.objective_left_ms - sizes[size].first_event_ms);
            let kept = answer.end_chance * kept_value;
            let gain = (1.0 - good) * found_value - good * (kept - value) - cost - margin;
            if gain > best.0 {
                best = (gain, Some(size));
            }
        }
        best.1
    }

    /// Returns the smaller size with which to start again in place of a run that cannot end by the
    /// deadline, or `None` to go on with it. The caller has received nothing yet.
    ///
    /// `too_hard_for` is the largest size whose answer to the request was discarded.
    pub fn smaller_size(
        &self,
        sizes: &[SizeOutlook],
        answer: &CurrentAnswer,
        too_hard_for: Option<usize>,
    ) -> Option<usize> {
        if !is_hopeless(answer.end_chance) {
            return None;
        }
        let path = Path {
            sizes,
            too_hard_for,
            objective_left_ms: answer.objective_left_ms,
            deadline_left_ms: self.deadline_left_ms,
            max_runs: 1,
        };
        let mut best = (0.0, None);
        for size in too_hard_for.map_or(0, |weak| weak + 1)..answer.size {
            let gain = self.path_gain(&path, size);
            if gain > best.0 {
                best = (gain, Some(size));
            }
        }
        best.1
    }

    /// Returns whether a run that is being written is better moved to another endpoint.
    ///
    /// `repeated_part` is the part of the whole run that is done again there: reading the prompt.
    pub fn is_move_worth(
        &self,
        outlook: &SizeOutlook,
        here: RunEnd,
        there: RunEnd,
        repeated_part: f64,
    ) -> bool {
        let value = |end: RunEnd| {
            let value = if end.is_late { LATE_VALUE } else { 1.0 };
            end.chance * value
        };
        let cost = RUN_COST + self.largest_run_cost * outlook.relative_time * repeated_part;
        Cascade::is_expected(there.chance) && value(there) - value(here) > cost
    }

    /// Returns whether a run with this chance is expected to end by the deadline.
    pub fn is_expected(end_chance: f64) -> bool {
        end_chance >= EXPECTED_CHANCE
    }

    fn run_cost(&self, size: &SizeOutlook) -> f64 {
        RUN_COST + self.largest_run_cost * size.relative_time
    }

    /// Returns the expected gain of a run, and of the best runs after it.
    fn path_gain(&self, path: &Path<'_>, size: usize) -> f64 {
        let outlook = &path.sizes[size];
        let known = path
            .too_hard_for
            .map_or(0.0, |smaller| path.sizes[smaller].good_share);
        let good = ((outlook.good_share - known) / (1.0 - known).max(f64::EPSILON)).max(0.0);
        let rest = Path {
            too_hard_for: Some(size),
            objective_left_ms: path.objective_left_ms - outlook.first_event_ms,
            deadline_left_ms: path.deadline_left_ms - outlook.first_event_ms,
            max_runs: path.max_runs - 1,
            ..*path
        };
        let mut best_rest: f64 = 0.0;
        if rest.max_runs > 0 {
            for next in size + 1..path.sizes.len() {
                best_rest = best_rest.max(self.path_gain(&rest, next));
            }
        }
        let chance = outlook.end_chance(path.deadline_left_ms);
        let value = chance * value_at(rest.objective_left_ms);
        good * value + (1.0 - good) * best_rest - self.run_cost(outlook)
    }
}

/// The runs that a request may still have.
#[derive(Clone, Copy)]
struct Path<'a> {
    sizes: &'a [SizeOutlook],
    /// The largest size that the request was too hard for.
    too_hard_for: Option<usize>,
    objective_left_ms: f64,
    deadline_left_ms: f64,
    max_runs: u32,
}

fn value_at(objective_left_ms: f64) -> f64 {
    if objective_left_ms > 0.0 {
        1.0
    } else {
        LATE_VALUE
    }
}

/// Returns the chance that an answer is good, from 0 to 1.
fn good_chance(confidence: Option<u8>) -> f64 {
    let Some(confidence) = confidence else {
        return 0.0;
    };
    let points = f64::from(confidence) - f64::from(EVEN_CONFIDENCE);
    1.0 / (1.0 + (-points / CONFIDENCE_SCALE).exp())
}
