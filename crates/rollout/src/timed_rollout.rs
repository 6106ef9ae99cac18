//! Moving a service's traffic to a new version within a set time.

use crate::OutcomeCounts;
use crate::monitor::Regression;

/// How far a shift has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All stays on the old version, so that no conversation changes its version too soon.
    Waiting,
    /// A small share tries the version.
    Trial,
    /// Half of the traffic is on it.
    Half,
    /// All new work is on it; work on the old version ends.
    All,
    /// The old version is done with.
    Done,
    /// The version turned out bad.
    Withdrawn,
}

/// Times and shares of a shift.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedRolloutSettings {
    /// The share of traffic during the trial, from 0 to 1.
    pub trial_share: f64,
    /// The part of the time after which the trial begins. The users let conversations change to the
    /// new version after half of it.
    pub trial_at: f64,
    /// The part of the time after which half of the traffic moves.
    pub half_at: f64,
    /// The part of the time after which all traffic moves.
    pub all_at: f64,
    /// The part of the time after which work that still runs on the old version is not waited for.
    pub done_at: f64,
    /// The fewest answers of the new version before half of the traffic moves.
    pub min_answers: u64,
}

/// The share of all requests that a version without a visible fault gets with the default settings:
/// 0.07 of them for 0.345 of the time, half for 0.03, all for 0.06.
const DEFAULT_EXPOSURE: f64 = 0.0975;

/// How many times the default share a trial gets at most, where the users bear more exposure. The
/// phases that follow are not longer then: traffic may rise while they last.
const MAX_TRIAL_PART: f64 = 1.6;

impl Default for TimedRolloutSettings {
    fn default() -> TimedRolloutSettings {
        TimedRolloutSettings {
            trial_share: 0.07,
            trial_at: 0.505,
            half_at: 0.85,
            all_at: 0.88,
            done_at: 0.94,
            min_answers: 6,
        }
    }
}

impl TimedRolloutSettings {
    /// Makes settings under which a version that shows its fault only when it bears everything gets
    /// at most this share of all requests until its time is over.
    pub fn for_exposure(share: f64) -> TimedRolloutSettings {
        let usual = TimedRolloutSettings::default();
        let trial_part = (share / DEFAULT_EXPOSURE).clamp(0.0, MAX_TRIAL_PART);
        let part = trial_part.min(1.0);
        let all_at = usual.done_at - (usual.done_at - usual.all_at) * part;
        TimedRolloutSettings {
            trial_share: usual.trial_share * trial_part,
            half_at: all_at - (usual.all_at - usual.half_at) * part,
            all_at,
            ..usual
        }
    }
}

/// What is known when a shift is looked at.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedRolloutState {
    /// The phase.
    pub phase: Phase,
    /// The part of the time that is over, from 0 to 1.
    pub elapsed_share: f64,
    /// Outcomes on the new version, all instances together.
    pub new: OutcomeCounts,
    /// Calls that still run on the old version, all instances together.
    pub running_on_old: u64,
}

/// The part of the time for which calls may still be on their way to the old version.
const SETTLE_SHARE: f64 = 0.02;

/// Returns the phase that follows, which is the same one if nothing is to be done.
pub fn next_phase(state: &TimedRolloutState, settings: &TimedRolloutSettings) -> Phase {
    if is_slow_trial(state, settings) {
        return Phase::Withdrawn;
    }
    let answers = state.new.answered + state.new.failed;
    match state.phase {
        Phase::Waiting if state.elapsed_share >= settings.trial_at => Phase::Trial,
        Phase::Trial if state.elapsed_share >= settings.half_at => {
            if answers >= settings.min_answers {
                Phase::Half
            } else {
                Phase::Trial
            }
        }
        Phase::Half if state.elapsed_share >= settings.all_at => Phase::All,
        Phase::All => {
            let over = state.elapsed_share >= settings.done_at;
            // The last calls may have been placed on views that were a moment old.
            let settled = state.elapsed_share >= settings.all_at + SETTLE_SHARE;
            if over || (settled && state.running_on_old == 0) {
                Phase::Done
            } else {
                Phase::All
            }
        }
        phase => phase,
    }
}

/// The share of slow answers over a whole trial at which a version may not move on: far above what a
/// cold endpoint or one long prompt makes of a good one.
const TRIAL_SLOW_SHARE: f64 = 0.5;

/// Returns whether a trial that would end now ended badly, for being slow all along.
fn is_slow_trial(state: &TimedRolloutState, settings: &TimedRolloutSettings) -> bool {
    let ends = state.phase == Phase::Trial && state.elapsed_share >= settings.half_at;
    let enough = state.new.answered >= settings.min_answers;
    ends && enough && state.new.slow as f64 >= TRIAL_SLOW_SHARE * state.new.answered as f64
}

/// How many times the old version's share of failures the new one's must be to be held against it.
const WORSE_FACTOR: f64 = 2.0;

/// How much higher than that the new one's share of failures must be.
const WORSE_MARGIN: f64 = 0.08;

/// How much higher than that its share of slow answers must be: good versions showed up to 0.2 on
/// the one endpoint that bears a trial, where 0.05 were slow besides.
const SLOWER_MARGIN: f64 = 0.15;

/// Returns whether a symptom is worse on the new version than trouble of the whole service explains.
pub fn is_worse(symptom: Regression, new: &OutcomeCounts, old: &OutcomeCounts) -> bool {
    let share = |counts: &OutcomeCounts| {
        let (happened, absent) = symptom.split(counts);
        happened as f64 / (happened + absent).max(1) as f64
    };
    let margin = match symptom {
        Regression::Latency => SLOWER_MARGIN,
        Regression::Failures | Regression::Quality => WORSE_MARGIN,
    };
    share(new) > share(old) * WORSE_FACTOR + margin
}
