//! How far a shift moves, and when.

use rollout::{Counts, Phase, ShiftSettings, ShiftState, Symptom, is_worse, next_phase};

fn state(phase: Phase, elapsed_share: f64, answers: u64, running_on_old: u64) -> ShiftState {
    ShiftState {
        phase,
        elapsed_share,
        new: Counts {
            answered: answers,
            ..Counts::default()
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
        (
            "for a while",
            state(Phase::Trial, 0.55, 30, 0),
            Phase::Trial,
        ),
        (
            "no evidence, no move",
            state(Phase::Trial, 0.7, 3, 0),
            Phase::Trial,
        ),
        ("half", state(Phase::Trial, 0.61, 30, 0), Phase::Half),
        (
            "half for a while",
            state(Phase::Half, 0.62, 30, 0),
            Phase::Half,
        ),
        ("all", state(Phase::Half, 0.67, 30, 9), Phase::All),
        (
            "work on the old version ends first",
            state(Phase::All, 0.8, 30, 1),
            Phase::All,
        ),
        (
            "calls may be on their way",
            state(Phase::All, 0.68, 30, 0),
            Phase::All,
        ),
        ("done", state(Phase::All, 0.8, 30, 0), Phase::Done),
        ("done in time", state(Phase::All, 0.93, 30, 4), Phase::Done),
        (
            "withdrawn stays",
            state(Phase::Withdrawn, 0.9, 30, 0),
            Phase::Withdrawn,
        ),
    ];
    let settings = ShiftSettings::default();
    for (name, state, expected) in cases {
        assert_eq!(next_phase(&state, &settings), expected, "{name}");
    }
}

#[test]
fn trouble_of_the_whole_service_is_not_held_against_a_version() {
    let counts = |answered, failed| Counts {
        answered,
        failed,
        ..Counts::default()
    };
    assert!(is_worse(Symptom::Failures, &counts(6, 4), &counts(900, 10)));
    assert!(!is_worse(
        Symptom::Failures,
        &counts(6, 4),
        &counts(700, 300)
    ));
    assert!(!is_worse(
        Symptom::Failures,
        &counts(30, 1),
        &counts(900, 10)
    ));
}
