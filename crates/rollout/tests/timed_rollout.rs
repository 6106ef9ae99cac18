//! How far a shift moves, and when.

use rollout::{
    OutcomeCounts, Phase, Regression, SustainedSlowness, TimedRolloutSettings, TimedRolloutState,
    is_worse, next_phase,
};

fn state(phase: Phase, elapsed_share: f64, answers: u64, running_on_old: u64) -> TimedRolloutState {
    TimedRolloutState {
        phase,
        elapsed_share,
        new: OutcomeCounts {
            answered: answers,
            ..OutcomeCounts::default()
        },
        running_on_old,
    }
}

#[test]
fn phases_follow_time_and_evidence() {
    let cases = [
        (
            "conversations stay in the first half",
            state(Phase::Waiting, 0.5, 0, 0),
            Phase::Waiting,
        ),
        (
            "then a few try",
            state(Phase::Waiting, 0.51, 0, 0),
            Phase::Trial,
        ),
        ("for a while", state(Phase::Trial, 0.8, 30, 0), Phase::Trial),
        (
            "no evidence, no move",
            state(Phase::Trial, 0.9, 3, 0),
            Phase::Trial,
        ),
        ("half", state(Phase::Trial, 0.86, 30, 0), Phase::Half),
        (
            "half for a while",
            state(Phase::Half, 0.87, 30, 0),
            Phase::Half,
        ),
        ("all", state(Phase::Half, 0.89, 30, 9), Phase::All),
        (
            "work on the old version ends first",
            state(Phase::All, 0.92, 30, 1),
            Phase::All,
        ),
        (
            "calls may be on their way",
            state(Phase::All, 0.885, 30, 0),
            Phase::All,
        ),
        ("done", state(Phase::All, 0.92, 30, 0), Phase::Done),
        ("done in time", state(Phase::All, 0.95, 30, 4), Phase::Done),
        (
            "withdrawn stays",
            state(Phase::Withdrawn, 0.9, 30, 0),
            Phase::Withdrawn,
        ),
    ];
    let settings = TimedRolloutSettings::default();
    for (name, state, expected) in cases {
        assert_eq!(next_phase(&state, &settings), expected, "{name}");
    }
}

#[test]
fn trouble_of_the_whole_service_is_not_held_against_a_version() {
    let counts = |answered, failed| OutcomeCounts {
        answered,
        failed,
        ..OutcomeCounts::default()
    };
    assert!(is_worse(
        Regression::Failures,
        &counts(6, 4),
        &counts(900, 10)
    ));
    assert!(!is_worse(
        Regression::Failures,
        &counts(6, 4),
        &counts(700, 300)
    ));
    assert!(!is_worse(
        Regression::Failures,
        &counts(30, 1),
        &counts(900, 10)
    ));
}

/// Seats scale-2: 7 of 41 answers of a good version were slow, on the one cold endpoint of its trial.
#[test]
fn a_cold_endpoint_makes_no_version_slow() {
    let counts = |answered, slow| OutcomeCounts {
        answered,
        slow,
        ..OutcomeCounts::default()
    };
    let cases = [
        (
            "good, on a cold endpoint",
            counts(41, 7),
            counts(2061, 90),
            false,
        ),
        ("a third is slow", counts(23, 9), counts(1219, 135), true),
    ];
    for (name, new, old, expected) in cases {
        let worse = is_worse(Regression::Latency, &new, &old);
        assert_eq!(worse, expected, "{name}");
    }
}

/// Own day slow-version with --seed 1013406868120 on the seats: all of eight answers were slow, the
/// last of them so late that the phases that followed took no time.
#[test]
fn a_trial_that_was_slow_all_along_ends_the_roll_out() {
    let mut trial = state(Phase::Trial, 0.96, 8, 0);
    trial.new.slow = 8;
    let settings = TimedRolloutSettings::default();
    assert_eq!(next_phase(&trial, &settings), Phase::Withdrawn);
    trial.new.slow = 3;
    assert_eq!(next_phase(&trial, &settings), Phase::Half);
}

/// Returns the share of all requests that a version without a visible fault gets until its time is
/// over, if the traffic of the last third is `late` times that before.
fn exposure(settings: &TimedRolloutSettings, late: f64) -> f64 {
    let mut phase = Phase::Waiting;
    let (mut on_new, mut all) = (0.0, 0.0);
    let steps = 2_000;
    for step in 0..steps {
        let elapsed_share = f64::from(step) / f64::from(steps);
        phase = next_phase(&state(phase, elapsed_share, 1_000, 1), settings);
        let traffic = if elapsed_share < 0.67 { 1.0 } else { late };
        all += traffic;
        on_new += traffic
            * match phase {
                Phase::Waiting | Phase::Withdrawn => 0.0,
                Phase::Trial => settings.trial_share,
                Phase::Half => 0.5,
                // The users count no requests after success, which ends the old version.
                Phase::All => 1.0,
                Phase::Done => 0.0,
            };
    }
    assert_eq!(phase, Phase::Done);
    on_new / all
}

/// Own day bad-under-load: a version whose fault shows only when it bears everything.
#[test]
fn a_version_without_a_visible_fault_gets_a_bounded_share_until_its_time_is_over() {
    for bound in [0.15, 0.0975, 0.04] {
        let share = exposure(&TimedRolloutSettings::for_exposure(bound), 1.0);
        assert!(share <= bound * 1.05, "{share} of {bound}");
    }
}

/// The same day with --seed 930730394959 on the seats: a burst came with the last phases.
#[test]
fn a_burst_at_the_end_does_not_break_the_bound_of_those_who_bear_more() {
    let share = exposure(&TimedRolloutSettings::for_exposure(0.15), 1.7);
    assert!(share <= 0.15, "{share}");
}

/// Own day slow-version: all answers of an endpoint are slow while it reads one long prompt. Seats
/// scale-2: what had been seen on trial had a good version withdrawn at once when it got traffic.
#[test]
fn slowness_must_last_and_be_seen_anew_with_traffic() {
    let looks = [
        (0, true, Phase::Trial, false),
        (2_000, true, Phase::Trial, false),
        (2_100, false, Phase::Trial, false),
        (2_200, true, Phase::Trial, false),
        (4_600, true, Phase::Trial, false),
        (4_700, true, Phase::Trial, true),
        (4_800, true, Phase::Half, false),
        (5_500, true, Phase::All, false),
        (5_800, true, Phase::All, true),
        (5_900, false, Phase::All, false),
    ];
    let mut slowness = SustainedSlowness::default();
    for (now_ms, seen, phase, expected) in looks {
        assert_eq!(
            slowness.update(seen, phase, now_ms),
            expected,
            "at {now_ms}"
        );
    }
}
