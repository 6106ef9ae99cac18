//! Which requests and prompt parts are blocked for crashes of endpoints, for how long, and how they are
//! freed.

use limits::Subject::{Part, Request};
use limits::{Admittance, Crash, CrashBlock, CrashGuard, CrashHistory, CrashReport, Subject};

const BAD: Subject = Part(66);
const SHARED: Subject = Part(1);
const SOUND: Subject = Part(20);
const BESIDE: Subject = Part(30);

/// The crash of an endpoint that no other crash is of.
fn crash(at_ms: u64) -> Crash {
    Crash {
        endpoint: at_ms + 1,
        at_ms,
    }
}

/// Decides on what the guard has seen, and returns whether a part is blocked then.
fn decides_to_block(guard: &mut CrashGuard, subject: Subject, now_ms: u64) -> bool {
    guard.set_peers(&[], now_ms);
    is_blocked(guard, subject, now_ms)
}

fn is_blocked(guard: &mut CrashGuard, subject: Subject, now_ms: u64) -> bool {
    matches!(
        guard.admit(&[subject], |_| true, now_ms),
        Admittance::Blocked(_)
    )
}

/// Reports what `from` holds to `to`, as if it took no time.
fn exchange(from: &mut CrashGuard, to: &mut CrashGuard, now_ms: u64) {
    to.set_peers(&from.reported(now_ms), now_ms);
}

/// A guard that has blocked the bad part at 3 s.
fn blocked() -> CrashGuard {
    let mut guard = CrashGuard::default();
    for now_ms in [1_000, 2_000, 3_000] {
        guard.record_crash(&[SHARED, BAD], crash(now_ms));
        guard.record_survival(&[SHARED, SOUND], now_ms + 500);
    }
    assert!(decides_to_block(&mut guard, BAD, 3_600));
    guard
}

/// One step of a history: a crash or a survival of a prompt, at a time in milliseconds.
enum Step {
    Crashed(&'static [Subject], u64),
    Survived(&'static [Subject], u64),
}

#[test]
fn only_parts_that_never_survive_are_blocked() {
    use Step::{Crashed, Survived};
    let cases: [(&str, Vec<Step>, &[Subject]); 6] = [
        (
            "crashes in a row",
            vec![
                Crashed(&[SHARED, BAD], 1_000),
                Survived(&[SHARED], 1_500),
                Crashed(&[SHARED, BAD], 2_000),
                Survived(&[SHARED], 2_500),
                Crashed(&[SHARED, BAD], 3_000),
            ],
            &[BAD],
        ),
        (
            "two crashes are too few",
            vec![Crashed(&[BAD], 1_000), Crashed(&[BAD], 2_000)],
            &[],
        ),
        (
            "endpoints that end together are one event",
            vec![
                Crashed(&[BAD], 1_000),
                Crashed(&[BAD], 1_020),
                Crashed(&[BAD], 1_060),
                Crashed(&[BAD], 1_110),
            ],
            &[],
        ),
        (
            "a survival in between",
            vec![
                Crashed(&[BAD], 1_000),
                Crashed(&[BAD], 2_000),
                Survived(&[BAD], 2_500),
                Crashed(&[BAD], 3_000),
            ],
            &[],
        ),
        (
            "crashes of long ago",
            vec![
                Crashed(&[BAD], 1_000),
                Crashed(&[BAD], 2_000),
                Crashed(&[BAD], 70_000),
            ],
            &[],
        ),
        (
            "a part that only runs beside the bad one is not held responsible",
            vec![
                Crashed(&[BAD], 1_000),
                Crashed(&[BAD], 2_000),
                Crashed(&[BAD, BESIDE], 3_000),
                Crashed(&[BAD, BESIDE], 4_000),
                Crashed(&[BAD, BESIDE], 5_000),
                Crashed(&[BAD, BESIDE], 6_000),
            ],
            &[BAD],
        ),
    ];
    for (name, steps, expected) in cases {
        let mut guard = CrashGuard::default();
        let mut last_ms = 0;
        for step in steps {
            match step {
                Crashed(subjects, now_ms) => {
                    guard.record_crash(subjects, crash(now_ms));
                    last_ms = now_ms;
                }
                Survived(subjects, now_ms) => guard.record_survival(subjects, now_ms),
            }
        }
        for subject in [SHARED, BAD, BESIDE] {
            let blocked = decides_to_block(&mut guard, subject, last_ms + 200);
            assert_eq!(blocked, expected.contains(&subject), "{name}: {subject:?}");
        }
    }
}

#[test]
fn more_crashes_are_needed_while_many_endpoints_end_for_other_reasons() {
    let mut guard = CrashGuard::default();
    for number in 0..200 {
        let parts = [Part(1_000 + number)];
        if number % 4 == 0 {
            guard.record_crash(&parts, crash(number));
        } else {
            guard.record_survival(&parts, number);
        }
    }
    for number in 0..4 {
        guard.record_crash(&[BAD], crash(1_000 + 400 * number));
    }
    assert!(!decides_to_block(&mut guard, BAD, 3_000));
    for number in 4..7 {
        guard.record_crash(&[BAD], crash(1_000 + 400 * number));
    }
    assert!(decides_to_block(&mut guard, BAD, 4_000));
}

#[test]
fn a_crash_of_an_endpoint_that_lives_is_taken_back() {
    let mut guard = CrashGuard::default();
    guard.record_crash(&[BAD], crash(1_000));
    guard.record_crash(&[BAD], crash(2_000));
    guard.retract_crash(&[BAD], 2_100);
    guard.record_crash(&[BAD], crash(3_000));
    assert!(!decides_to_block(&mut guard, BAD, 3_200));
}

/// Guards against forgetting the crashes of other endpoints for one that may have lived.
#[test]
fn a_crash_that_is_left_out_counts_again_at_its_own_time() {
    let mut guard = CrashGuard::default();
    for now_ms in [1_000, 2_000, 3_000] {
        guard.record_crash(&[BAD], crash(now_ms));
    }
    guard.excuse_crash(&[BAD], crash(2_000).endpoint);
    assert!(!decides_to_block(&mut guard, BAD, 3_200));
    guard.restore_crash(&[BAD], crash(2_000));
    assert!(decides_to_block(&mut guard, BAD, 3_300));
}

/// As above, but the part has survived meanwhile.
#[test]
fn a_crash_that_counts_again_does_not_outlast_a_survival() {
    let mut guard = CrashGuard::default();
    guard.record_crash(&[BAD], crash(1_000));
    guard.excuse_crash(&[BAD], crash(1_000).endpoint);
    guard.record_survival(&[BAD], 1_500);
    guard.restore_crash(&[BAD], crash(1_000));
    for now_ms in [2_000, 3_000] {
        guard.record_crash(&[BAD], crash(now_ms));
    }
    assert!(!decides_to_block(&mut guard, BAD, 3_200));
}

#[test]
fn crashes_at_several_instances_block_a_part_at_all_of_them() {
    let mut guards = [
        CrashGuard::default(),
        CrashGuard::default(),
        CrashGuard::default(),
    ];
    for (number, guard) in guards.iter_mut().enumerate() {
        guard.record_crash(&[SHARED, BAD], crash(1_000 + 500 * number as u64));
    }
    guards[0].record_survival(&[SHARED], 2_400);
    let now_ms = 2_500;
    let reports: Vec<Vec<CrashReport>> = guards
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
    let mut joins = CrashGuard::default();
    exchange(&mut knows, &mut joins, 4_000);
    assert!(is_blocked(&mut joins, BAD, 4_000));
    assert!(!is_blocked(&mut joins, SHARED, 4_000));
}

#[test]
fn after_a_block_one_instance_tries_the_part_and_frees_it_everywhere() {
    let mut first = blocked();
    let mut other = CrashGuard::default();
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
    guard.record_crash(&[BAD], crash(64_100));
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
    assert_eq!(guard.blocked_parts(), 0);
}

#[test]
fn what_is_remembered_and_reported_is_bounded() {
    let mut guard = CrashGuard::default();
    for hash in 0..50_000 {
        for at_ms in [1_000, 2_000, 3_000] {
            guard.record_crash(&[Request(hash), Part(hash)], crash(at_ms));
        }
        guard.record_survival(&[Request(100_000 + hash)], 3_000);
    }
    let reported = guard.reported(3_000);
    for kind in [Request, Part] {
        let of_kind = |report: &&CrashReport| {
            std::mem::discriminant(&report.history.subject()) == std::mem::discriminant(&kind(0))
        };
        let count = reported.iter().filter(of_kind).count();
        assert!(count <= 64, "{count}");
    }
    let mut history = CrashHistory::new(BAD);
    for number in 0..1_000 {
        history.add_crash(crash(number * 1_000));
    }
    assert!(history.crashes().len() <= 16);
    let mut reports = Vec::new();
    for hash in 0..1_000 {
        for subject in [Request(hash), Part(hash)] {
            let block = CrashBlock {
                until_ms: 60_000,
                length_ms: 57_000,
            };
            reports.push(CrashReport {
                history: CrashHistory::new(subject),
                block: Some(block),
            });
        }
    }
    guard.set_peers(&reports, 3_200);
    assert!(guard.blocked_parts() <= 256, "{}", guard.blocked_parts());
    assert!(
        guard.blocked_requests() <= 256,
        "{}",
        guard.blocked_requests()
    );
}

#[test]
fn a_part_is_suspect_from_the_second_crash_in_a_row() {
    let mut guard = CrashGuard::default();
    guard.record_crash(&[SHARED, BAD], crash(1_000));
    assert!(!guard.is_suspect(&[SHARED, BAD], 1_100));
    guard.record_survival(&[SHARED, SOUND], 1_500);
    guard.record_crash(&[SHARED, BAD], crash(2_000));
    assert!(guard.is_suspect(&[SHARED, BAD], 2_100));
    assert!(!guard.is_suspect(&[SHARED, SOUND], 2_100));
}

#[test]
fn parts_with_the_most_crashes_are_reported_first() {
    let report = |subject: Subject, crashes: u64| {
        let mut history = CrashHistory::new(subject);
        for number in 1..=crashes {
            history.add_crash(crash(number * 1_000));
        }
        CrashReport {
            history,
            block: None,
        }
    };
    let mut reports: Vec<CrashReport> = (0..200).map(|part| report(Part(part), 1)).collect();
    reports.push(report(Part(999), 2));
    let joined = CrashReport::join(reports);
    assert_eq!(joined[0].history.subject(), Part(999));
    assert!(joined.len() <= 64, "{}", joined.len());
}

/// Records the crash of one endpoint under each of these requests.
fn crash_under(guard: &mut CrashGuard, requests: &[u64], at_ms: u64) {
    for hash in requests {
        guard.record_crash(&[Request(*hash)], crash(at_ms));
    }
}

#[test]
fn a_request_is_blocked_for_the_ends_of_three_endpoints_that_follow_each_other_fast() {
    let mut guard = CrashGuard::default();
    for at_ms in [1_000, 1_055, 1_260] {
        crash_under(&mut guard, &[66], at_ms);
    }
    assert!(
        is_blocked(&mut guard, Request(66), 1_270),
        "not decided yet"
    );
    assert!(decides_to_block(&mut guard, Request(66), 1_500));
    assert!(is_blocked(&mut guard, Request(66), 61_000));
}

#[test]
fn an_endpoint_whose_end_several_instances_see_counts_once() {
    let mut guard = CrashGuard::default();
    for at_ms in [1_000, 1_040, 1_090] {
        let seen = Crash { endpoint: 5, at_ms };
        guard.record_crash(&[Request(66)], seen);
    }
    assert!(!decides_to_block(&mut guard, Request(66), 1_500));
}

#[test]
fn requests_that_may_each_have_crashed_the_endpoints_are_blocked_until_they_can_be_tried_again() {
    let mut guard = CrashGuard::default();
    for at_ms in [1_000, 2_000, 3_000] {
        crash_under(&mut guard, &[66, 67], at_ms);
    }
    assert!(decides_to_block(&mut guard, Request(66), 3_200));
    assert!(is_blocked(&mut guard, Request(67), 3_200));
    let tried_ms = 8_300;
    for hash in [66, 67] {
        let admitted = guard.admit(&[Request(hash)], |_| true, tried_ms);
        assert_eq!(admitted, Admittance::Admitted, "{hash}");
    }
    guard.record_survival(&[Request(67)], tried_ms + 20);
    crash_under(&mut guard, &[66], tried_ms + 100);
    guard.set_peers(&[], tried_ms + 300);
    assert!(!is_blocked(&mut guard, Request(67), tried_ms + 300));
    assert!(is_blocked(&mut guard, Request(66), tried_ms + 59_000));
}

#[test]
fn a_request_that_many_callers_send_needs_more_crashes() {
    let mut guard = CrashGuard::default();
    guard.record_survival(&[Request(66)], 500);
    for at_ms in [1_000, 2_000, 3_000, 4_000] {
        crash_under(&mut guard, &[66], at_ms);
    }
    assert!(!decides_to_block(&mut guard, Request(66), 4_200));
    crash_under(&mut guard, &[66], 5_000);
    assert!(decides_to_block(&mut guard, Request(66), 5_200));
}

#[test]
fn a_request_explains_its_crashes_and_its_parts_go_on() {
    let mut guard = CrashGuard::default();
    for at_ms in [1_000, 2_000, 3_000] {
        guard.record_crash(&[Request(66), SHARED], crash(at_ms));
    }
    assert!(decides_to_block(&mut guard, Request(66), 3_200));
    assert!(!is_blocked(&mut guard, SHARED, 3_200));
}

#[test]
fn a_part_is_learned_from_several_requests_that_are_blocked_themselves() {
    let mut guard = CrashGuard::default();
    for hash in 0..4 {
        for number in 0..3 {
            let at_ms = 1_000 + hash * 3_000 + number * 500;
            guard.record_crash(&[Request(hash), BAD], crash(at_ms));
            guard.set_peers(&[], at_ms + 200);
        }
    }
    assert!(is_blocked(&mut guard, BAD, 12_000));
}

#[test]
fn parts_that_may_each_have_crashed_the_endpoints_are_blocked_together_and_not_for_long() {
    let mut guard = CrashGuard::default();
    for number in 0..6 {
        let at_ms = 1_000 * (number + 1);
        guard.record_crash(&[Request(number), SOUND, BAD], crash(at_ms));
        guard.set_peers(&[], at_ms + 200);
    }
    assert!(is_blocked(&mut guard, BAD, 6_300));
    assert!(is_blocked(&mut guard, SOUND, 6_300));
    let tried_ms = 11_500;
    assert_eq!(
        guard.admit(&[SOUND], |_| true, tried_ms),
        Admittance::Admitted
    );
    guard.record_survival(&[SOUND], tried_ms + 600);
    guard.record_crash(&[Request(9), BAD], crash(tried_ms + 700));
    guard.set_peers(&[], tried_ms + 900);
    assert!(!is_blocked(&mut guard, SOUND, tried_ms + 1_000));
    assert!(is_blocked(&mut guard, BAD, tried_ms + 59_000));
}

/// Guards against a connection that is reset while requests wait: it would clear the part that crashes
/// endpoints, or count as a crash although the endpoint lives.
#[test]
fn an_endpoint_that_lives_on_says_nothing_of_parts_that_it_may_not_have_begun() {
    let mut guard = CrashGuard::default();
    for now_ms in [1_000, 2_000] {
        guard.record_crash(&[Request(now_ms), BAD], crash(now_ms));
    }
    let reset = crash(2_500);
    guard.record_crash(&[Request(3), BAD], reset);
    guard.retract_pending_crash(&[Request(3), BAD], reset.endpoint, 2_600);
    assert!(!decides_to_block(&mut guard, BAD, 2_900));
    guard.record_crash(&[Request(4), BAD], crash(3_000));
    assert!(decides_to_block(&mut guard, BAD, 3_200));
}
