//! Which prompt parts are blocked for crashes of endpoints, for how long, and how they are freed.

use limits::{Admittance, PartHistory, PromptGuard, ReportedPart};

const BAD: u64 = 66;
const SHARED: u64 = 1;

/// Decides on what the guard has seen, and returns whether a part is blocked then.
fn decides_to_block(guard: &mut PromptGuard, part: u64, now_ms: u64) -> bool {
    guard.set_peers(&[], now_ms);
    is_blocked(guard, part, now_ms)
}

fn is_blocked(guard: &mut PromptGuard, part: u64, now_ms: u64) -> bool {
    matches!(
        guard.admit(&[part], |_| true, now_ms),
        Admittance::Blocked(_)
    )
}

/// Reports what `from` holds to `to`, as if it took no time.
fn exchange(from: &mut PromptGuard, to: &mut PromptGuard, now_ms: u64) {
    to.set_peers(&from.reported(now_ms), now_ms);
}

/// A guard that has blocked the bad part at 3 s.
fn blocked() -> PromptGuard {
    let mut guard = PromptGuard::default();
    for now_ms in [1_000, 2_000, 3_000] {
        guard.record_crash(&[SHARED, BAD], now_ms);
        guard.record_survival(&[SHARED, 20], now_ms + 500);
    }
    assert!(decides_to_block(&mut guard, BAD, 3_600));
    guard
}

/// One step of a history: a crash or a survival of a prompt, at a time in milliseconds.
enum Step {
    Crash(&'static [u64], u64),
    Survival(&'static [u64], u64),
}

#[test]
fn only_parts_that_never_survive_are_blocked() {
    use Step::{Crash, Survival};
    let cases: [(&str, Vec<Step>, &[u64]); 6] = [
        (
            "crashes in a row",
            vec![
                Crash(&[SHARED, BAD], 1_000),
                Survival(&[SHARED], 1_500),
                Crash(&[SHARED, BAD], 2_000),
                Survival(&[SHARED], 2_500),
                Crash(&[SHARED, BAD], 3_000),
            ],
            &[BAD],
        ),
        (
            "two crashes are too few",
            vec![Crash(&[BAD], 1_000), Crash(&[BAD], 2_000)],
            &[],
        ),
        (
            "endpoints that end together are one event",
            vec![
                Crash(&[BAD], 1_000),
                Crash(&[BAD], 1_020),
                Crash(&[BAD], 1_060),
                Crash(&[BAD], 1_110),
            ],
            &[],
        ),
        (
            "a survival in between",
            vec![
                Crash(&[BAD], 1_000),
                Crash(&[BAD], 2_000),
                Survival(&[BAD], 2_500),
                Crash(&[BAD], 3_000),
            ],
            &[],
        ),
        (
            "crashes of long ago",
            vec![
                Crash(&[BAD], 1_000),
                Crash(&[BAD], 2_000),
                Crash(&[BAD], 70_000),
            ],
            &[],
        ),
        (
            "a part that only runs beside the bad one is not held responsible",
            vec![
                Crash(&[BAD], 1_000),
                Crash(&[BAD], 2_000),
                Crash(&[BAD, 30], 3_000),
                Crash(&[BAD, 30], 4_000),
                Crash(&[BAD, 30], 5_000),
                Crash(&[BAD, 30], 6_000),
            ],
            &[BAD],
        ),
    ];
    for (name, steps, expected) in cases {
        let mut guard = PromptGuard::default();
        let mut last_ms = 0;
        for step in steps {
            match step {
                Crash(parts, now_ms) => {
                    guard.record_crash(parts, now_ms);
                    last_ms = now_ms;
                }
                Survival(parts, now_ms) => guard.record_survival(parts, now_ms),
            }
        }
        for part in [SHARED, BAD, 30] {
            let blocked = decides_to_block(&mut guard, part, last_ms + 200);
            assert_eq!(blocked, expected.contains(&part), "{name}: part {part}");
        }
    }
}

#[test]
fn more_crashes_are_needed_while_many_endpoints_end_for_other_reasons() {
    let mut guard = PromptGuard::default();
    for number in 0..200 {
        let parts = [1_000 + number];
        if number % 4 == 0 {
            guard.record_crash(&parts, number);
        } else {
            guard.record_survival(&parts, number);
        }
    }
    for number in 0..4 {
        guard.record_crash(&[BAD], 1_000 + 400 * number);
    }
    assert!(!decides_to_block(&mut guard, BAD, 3_000));
    for number in 4..7 {
        guard.record_crash(&[BAD], 1_000 + 400 * number);
    }
    assert!(decides_to_block(&mut guard, BAD, 4_000));
}

#[test]
fn a_crash_of_an_endpoint_that_lives_is_taken_back() {
    let mut guard = PromptGuard::default();
    guard.record_crash(&[BAD], 1_000);
    guard.record_crash(&[BAD], 2_000);
    guard.retract_crash(&[BAD], 2_100);
    guard.record_crash(&[BAD], 3_000);
    assert!(!decides_to_block(&mut guard, BAD, 3_200));
}

#[test]
fn crashes_at_several_instances_block_a_part_at_all_of_them() {
    let mut guards = [
        PromptGuard::default(),
        PromptGuard::default(),
        PromptGuard::default(),
    ];
    for (number, guard) in guards.iter_mut().enumerate() {
        guard.record_crash(&[SHARED, BAD], 1_000 + 500 * number as u64);
    }
    guards[0].record_survival(&[SHARED], 2_400);
    let now_ms = 2_500;
    let reports: Vec<Vec<ReportedPart>> = guards
        .iter_mut()
        .map(|guard| guard.reported(now_ms))
        .collect();
    for (number, guard) in guards.iter_mut().enumerate() {
        let mut others = Vec::new();
        for (other, report) in reports.iter().enumerate() {
            if other != number {
                others.extend(report.iter().cloned());
            }
        }
        guard.set_peers(&others, now_ms);
        assert!(is_blocked(guard, BAD, now_ms), "instance {number}");
    }
}

#[test]
fn an_instance_that_saw_no_crash_adopts_a_block() {
    let mut knows = blocked();
    let mut joins = PromptGuard::default();
    exchange(&mut knows, &mut joins, 4_000);
    assert!(is_blocked(&mut joins, BAD, 4_000));
    assert!(!is_blocked(&mut joins, SHARED, 4_000));
}

#[test]
fn after_a_block_one_instance_tries_the_part_and_frees_it_everywhere() {
    let mut first = blocked();
    let mut other = PromptGuard::default();
    exchange(&mut first, &mut other, 4_000);
    let later_ms = 63_700;
    assert_ne!(
        other.admit(&[BAD], |_| false, later_ms),
        Admittance::Admitted
    );
    assert_eq!(
        first.admit(&[BAD], |_| true, later_ms),
        Admittance::Admitted
    );
    assert!(is_blocked(&mut first, BAD, later_ms + 100), "one at a time");
    first.record_survival(&[BAD], later_ms + 500);
    exchange(&mut other, &mut first, later_ms + 600);
    exchange(&mut first, &mut other, later_ms + 600);
    assert!(!is_blocked(&mut first, BAD, later_ms + 700));
    assert!(!is_blocked(&mut other, BAD, later_ms + 700));
}

#[test]
fn a_part_that_crashes_an_endpoint_again_after_its_block_is_blocked_for_longer() {
    let mut guard = blocked();
    assert_eq!(guard.admit(&[BAD], |_| true, 64_000), Admittance::Admitted);
    guard.record_crash(&[BAD], 64_100);
    assert!(is_blocked(&mut guard, BAD, 64_100 + 119_000));
}

#[test]
fn a_block_lapses_if_nobody_tries_the_part() {
    let mut guard = blocked();
    assert!(is_blocked(&mut guard, BAD, 62_000));
    assert_eq!(
        guard.admit(&[BAD], |_| false, 123_700),
        Admittance::Admitted
    );
    guard.set_peers(&[], 123_700);
    assert_eq!(guard.blocked_count(), 0);
}

#[test]
fn what_is_remembered_and_reported_is_bounded() {
    let mut guard = PromptGuard::default();
    for part in 0..100_000 {
        guard.record_crash(&[part], 1_000);
        guard.record_crash(&[part], 2_000);
        guard.record_crash(&[part], 3_000);
    }
    assert!(guard.blocked_count() <= 256, "{}", guard.blocked_count());
    let reported = guard.reported(3_000);
    assert!(reported.len() <= 64, "{}", reported.len());
    let mut history = PartHistory::default();
    for crash in 0..1_000 {
        history.merge(&PartHistory {
            crashes_ms: vec![crash * 1_000],
            survived_ms: None,
        });
    }
    assert!(history.crashes_ms.len() <= 16);
}

#[test]
fn a_part_is_suspect_from_the_second_crash_in_a_row() {
    let mut guard = PromptGuard::default();
    guard.record_crash(&[SHARED, BAD], 1_000);
    assert!(!guard.is_suspect(&[SHARED, BAD], 1_100));
    guard.record_survival(&[SHARED, 20], 1_500);
    guard.record_crash(&[SHARED, BAD], 2_000);
    assert!(guard.is_suspect(&[SHARED, BAD], 2_100));
    assert!(!guard.is_suspect(&[SHARED, 20], 2_100));
}

#[test]
fn parts_with_the_most_crashes_are_reported_first() {
    let report = |part: u64, crashes: u64| ReportedPart {
        part,
        history: PartHistory {
            crashes_ms: (1..=crashes).map(|crash| crash * 1_000).collect(),
            survived_ms: None,
        },
        block: None,
    };
    let mut reports: Vec<ReportedPart> = (0..200).map(|part| report(part, 1)).collect();
    reports.push(report(999, 2));
    let joined = ReportedPart::join(reports);
    assert_eq!(joined[0].part, 999);
    assert!(joined.len() <= 64, "{}", joined.len());
}
