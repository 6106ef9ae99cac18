//! The phases of a roll-out that moves a service's traffic to a new version within a set time.

use crate::OutcomeCounts;
use crate::monitor::Regression;
use crate::old_calls::OldCallsState;
use crate::version_test::Judgement;

const MS_PER_S: f64 = 1_000.0;

/// The phase of a timed roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All traffic stays on the old version, so that no conversation changes its version too early.
    Waiting,
    /// A small share of the traffic tries the new version.
    Trial,
    /// Half of the traffic is on the new version.
    Half,
    /// All new requests go to the new version, which is not accepted yet.
    All,
    /// The new version is accepted; calls on the old version run to their end.
    Draining,
    /// The old version is no longer in use.
    Done,
    /// The new version regressed and gets no traffic.
    Withdrawn,
}

/// The traffic shares of a timed roll-out and the times of its phases.
///
/// Times are shares of the duration of the roll-out, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedRolloutSettings {
    /// The share of traffic on the new version during the trial, from 0 to 1.
    pub trial_share: f64,
    /// The elapsed share at which the trial begins. Conversations may change to the new version
    /// only in the second half of the time.
    pub trial_at: f64,
    /// The elapsed share at which half of the traffic moves.
    pub half_at: f64,
    /// The elapsed share at which all traffic moves.
    pub all_at: f64,
    /// The elapsed share from which a proven version is accepted. Until then, instances with an outdated view
    /// may start calls on the old version.
    pub done_at: f64,
    /// The minimum number of outcomes on the new version before half of the traffic moves.
    pub min_answers: u64,
    /// The minimum number of outcomes on the new version before the old one is given up.
    pub min_answers_to_finish: u64,
    /// The most requests that the trial gets beside its share of the traffic.
    pub extra_trial_requests: f64,
}

/// The exposure bound of the default settings, as a share of all requests.
const DEFAULT_EXPOSURE_SHARE: f64 = 0.0975;

/// The outcomes on the new version without which the old one is not given up. If a third of the
/// answers are slow, as many show it.
const MIN_ANSWERS_TO_FINISH: u64 = 16;

/// The largest share of the traffic during the trial; that of the next phase.
const MAX_TRIAL_SHARE: f64 = 0.5;

/// The part of the requests that are always tolerated on a bad version that the trial may use.
const FLOOR_PART: f64 = 0.65;

/// The requests of a trial beyond which it gets no more than its share: more would add bad answers
/// rather than certainty.
const ENOUGH_TRIAL_REQUESTS: f64 = 45.0;

/// The elapsed share at which the trial begins.
const TRIAL_AT: f64 = 0.505;

/// The elapsed share from which a proven version is accepted. In what is left of the time, other instances
/// may have to write the result if the first ones lost the store.
const DONE_AT: f64 = 0.945;

/// The part of the exposure bound that is used while all traffic is on the new version.
const ALL_PART: f64 = 0.72;

/// The longest time with all traffic on the new version, as a share of the duration. A burst in this
/// time raises the exposure.
const MAX_ALL_SHARE: f64 = 0.075;

/// The elapsed share after `all_at` during which calls may still start on the old version.
const OUTDATED_SHARE: f64 = 0.02;

/// The length of the phase with half of the traffic, as a part of the exposure bound.
const HALF_PART: f64 = 0.13;

/// The trial share, as a part of the exposure bound.
const TRIAL_PART: f64 = 0.47;

impl Default for TimedRolloutSettings {
    fn default() -> TimedRolloutSettings {
        TimedRolloutSettings::for_exposure(DEFAULT_EXPOSURE_SHARE)
    }
}

impl TimedRolloutSettings {
    /// Returns settings that bound the exposure to a version without a visible fault.
    ///
    /// A version whose fault never shows gets about this share of all requests at most, from 0 to
    /// 1, until the duration of the roll-out is over. Requests after an early success count too.
    pub fn for_exposure(share: f64) -> TimedRolloutSettings {
        let all_at = 1.0 - (share * ALL_PART).min(MAX_ALL_SHARE);
        TimedRolloutSettings {
            trial_share: share * TRIAL_PART,
            trial_at: TRIAL_AT,
            half_at: all_at - share * HALF_PART,
            all_at,
            done_at: DONE_AT.max(all_at + OUTDATED_SHARE),
            min_answers: 6,
            min_answers_to_finish: MIN_ANSWERS_TO_FINISH,
            extra_trial_requests: 0.0,
        }
    }

    /// Sets how many requests on a bad version are tolerated beside their share. The trial uses a part
    /// of them, so that it gets enough outcomes if the service has little traffic.
    pub fn exposure_floor(mut self, requests: f64) -> TimedRolloutSettings {
        self.extra_trial_requests = requests * FLOOR_PART;
        self
    }

    /// Returns the share of the traffic for the trial, from 0 to 1, of a service with this many
    /// requests per second and a roll-out of this duration in milliseconds.
    pub fn trial_share_for(&self, requests_per_s: f64, duration_ms: u64) -> f64 {
        let trial_s = (self.half_at - self.trial_at) * duration_ms as f64 / MS_PER_S;
        let requests = (requests_per_s * trial_s).max(1.0);
        let proportional = self.trial_share * requests;
        let extra = (ENOUGH_TRIAL_REQUESTS - proportional).clamp(0.0, self.extra_trial_requests);
        ((proportional + extra) / requests).min(MAX_TRIAL_SHARE)
    }
}

/// The state of a timed roll-out on which its next phase is decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedRolloutState {
    /// The current phase.
    pub phase: Phase,
    /// The share of the duration that has elapsed, from 0 to 1 and above if the roll-out is late.
    pub elapsed_share: f64,
    /// Outcomes on the new version, summed over all instances.
    pub new: OutcomeCounts,
    /// What may still run on the old version, at all instances.
    pub old_calls: OldCallsState,
    /// Whether the new version seems to have regressed, but not for long enough to withdraw it.
    pub is_suspect: bool,
    /// What the outcomes on both versions permit.
    pub judgement: Judgement,
}

/// Returns the next phase, or the current one if the roll-out is to stay in it.
///
/// No step is taken while the new version is suspect: either it is withdrawn soon, or the suspicion
/// passes. If it does not until the time is nearly over, the version is withdrawn.
///
/// An accepted version waits for calls on the old one, however long they take: the endpoints of the old
/// version are stopped at the end, and what runs there is lost unless it can be repeated.
pub fn next_phase(state: &TimedRolloutState, settings: &TimedRolloutSettings) -> Phase {
    let loses_none = state.old_calls != OldCallsState::Running;
    if state.phase == Phase::Draining && loses_none {
        return Phase::Done;
    }
    if is_slow_trial(state, settings) || is_unproven_at_end(state, settings) {
        return Phase::Withdrawn;
    }
    if state.is_suspect || state.judgement >= Judgement::Doubtful {
        return state.phase;
    }
    let outcomes = state.new.answered + state.new.failed;
    match state.phase {
        Phase::Waiting if state.elapsed_share >= settings.trial_at => Phase::Trial,
        Phase::Trial if state.elapsed_share >= settings.half_at => {
            if outcomes >= settings.min_answers {
                Phase::Half
            } else {
                Phase::Trial
            }
        }
        Phase::Half if state.elapsed_share >= settings.all_at => Phase::All,
        Phase::All => {
            let enough = outcomes >= settings.min_answers_to_finish;
            let proven = enough && state.judgement == Judgement::Acceptable;
            match proven && state.elapsed_share >= settings.done_at {
                true if loses_none => Phase::Done,
                true => Phase::Draining,
                false => Phase::All,
            }
        }
        phase => phase,
    }
}

/// The elapsed share at which a version that has enough outcomes and is not proven is withdrawn.
const GIVE_UP_AT: f64 = 0.985;

/// Returns whether the time is nearly over and the outcomes do not permit to complete the version.
fn is_unproven_at_end(state: &TimedRolloutState, settings: &TimedRolloutSettings) -> bool {
    let has_traffic = matches!(state.phase, Phase::Trial | Phase::Half | Phase::All);
    let outcomes = state.new.answered + state.new.failed;
    let enough = outcomes >= settings.min_answers_to_finish;
    let unproven = state.is_suspect || state.judgement > Judgement::Acceptable;
    has_traffic && enough && unproven && state.elapsed_share >= GIVE_UP_AT
}

/// The share of slow answers over the whole trial at which a version is withdrawn. A cold endpoint
/// or one long prompt causes far fewer slow answers on a good version.
const TRIAL_SLOW_SHARE: f64 = 0.5;

/// Returns whether a trial that would end now was slow throughout.
fn is_slow_trial(state: &TimedRolloutState, settings: &TimedRolloutSettings) -> bool {
    let is_over = state.phase == Phase::Trial && state.elapsed_share >= settings.half_at;
    let enough = state.new.answered >= settings.min_answers;
    is_over && enough && state.new.slow as f64 >= TRIAL_SLOW_SHARE * state.new.answered as f64
}

/// The factor on the old version's share of bad outcomes above which the new version may be worse.
const WORSE_FACTOR: f64 = 2.0;

/// The margin on top of this factor, as a share of outcomes.
const WORSE_MARGIN: f64 = 0.08;

/// The margin for slow answers. A trial runs on one endpoint, on which up to 0.2 of the answers of
/// good versions were slow, against 0.05 elsewhere.
const LATENCY_MARGIN: f64 = 0.15;

/// Returns whether the new version is worse than faults of the whole service explain.
///
/// Such faults raise the same share on the old version.
pub fn is_worse(regression: Regression, new: &OutcomeCounts, old: &OutcomeCounts) -> bool {
    let share = |counts: &OutcomeCounts| {
        let (occurred, absent) = regression.event_counts(counts);
        occurred as f64 / (occurred + absent).max(1) as f64
    };
    let margin = match regression {
        Regression::Latency => LATENCY_MARGIN,
        Regression::Failures | Regression::Quality => WORSE_MARGIN,
    };
    share(new) > share(old) * WORSE_FACTOR + margin
}
