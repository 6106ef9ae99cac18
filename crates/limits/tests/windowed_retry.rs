//! The retry budget holds in every window, for all instances together.

use limits::{Fleet, WindowedRetryBudget, WindowedRetrySettings};

const SETTINGS: WindowedRetrySettings = WindowedRetrySettings {
    ratio: 0.5,
    floor: 12.0,
    window_ms: 10_000,
};

/// Simulates an outage in which every request is retried up to three times, at several instances.
#[test]
fn no_window_of_a_retry_storm_exceeds_the_budget() {
    const INSTANCES: usize = 6;
    let mut budgets: Vec<WindowedRetryBudget> = (0..INSTANCES)
        .map(|_| WindowedRetryBudget::new(SETTINGS, 0))
        .collect();
    let mut random = fastrand::Rng::with_seed(11);
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for now_ms in (0..60_000_u64).step_by(10) {
        let budget = &mut budgets[random.usize(..INSTANCES)];
        budget.record_request(now_ms);
        requests.push(now_ms);
        for _ in 0..3 {
            if budget.try_acquire(now_ms, Fleet::known(INSTANCES)) {
                retries.push(now_ms);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|ms| (from..from + 10_000).contains(ms))
            .count() as f64
    };
    for from in (0..50_000).step_by(100) {
        let allowed = within(&requests, from) * SETTINGS.ratio + SETTINGS.floor;
        // Operators measure against the requests of the previous window as well, which covers the
        // window's edge.
        let earlier =
            within(&requests, from.saturating_sub(10_000)) * SETTINGS.ratio + SETTINGS.floor;
        let used = within(&retries, from);
        assert!(
            used <= allowed.max(earlier) * 1.05,
            "{used} of {allowed} from {from}"
        );
    }
    // In its first window each instance leaves room for what the one before it sent.
    let after = |times: &[u64]| times.iter().filter(|ms| **ms >= SETTINGS.window_ms).count();
    assert!(
        after(&retries) as f64 > after(&requests) as f64 * 0.4,
        "the budget is hardly used"
    );
}

#[test]
fn the_floor_is_split_among_instances_that_have_run_for_a_window() {
    let mut alone = WindowedRetryBudget::new(SETTINGS, 0);
    let mut one_of_six = WindowedRetryBudget::new(SETTINGS, 0);
    let acquired = |budget: &mut WindowedRetryBudget, instances, now_ms| {
        let acquired = (0..50).filter(|_| budget.try_acquire(now_ms, Fleet::known(instances)));
        acquired.count()
    };
    assert_eq!(acquired(&mut alone, 1, 0), 0);
    assert_eq!(acquired(&mut alone, 1, SETTINGS.window_ms), 12);
    assert_eq!(acquired(&mut one_of_six, 6, SETTINGS.window_ms), 2);
}

#[test]
fn a_new_instance_retries_what_its_own_requests_have_earned() {
    for (instances, requests, expected) in [
        (1, 0, 0),
        (1, 2, 0),
        (1, 3, 1),
        (1, 12, 1),
        (6, 12, 1),
        (1, 14, 2),
        (6, 28, 3),
    ] {
        let mut budget = WindowedRetryBudget::new(SETTINGS, 0);
        for _ in 0..requests {
            budget.record_request(0);
        }
        let acquired = (0..50)
            .filter(|_| budget.try_acquire(0, Fleet::known(instances)))
            .count();
        assert_eq!(
            acquired, expected,
            "{requests} requests, {instances} instances"
        );
    }
}

#[test]
fn a_service_with_few_requests_and_no_floor_can_save_up_one_retry() {
    let settings = WindowedRetrySettings {
        ratio: 0.2,
        floor: 0.0,
        window_ms: 10_000,
    };
    let mut budget = WindowedRetryBudget::new(settings, 0);
    let mut acquired = 0;
    for now_ms in (0..60_000).step_by(1_000) {
        budget.record_request(now_ms);
        acquired += usize::from(budget.try_acquire(now_ms, Fleet::known(6)));
    }
    assert!((6..=12).contains(&acquired), "{acquired} of 12");
}

/// Issue 49, by real processes: endpoints that had been paused read all that was sent to them at once.
#[test]
fn retries_that_arrive_late_leave_room_for_fewer_others() {
    const STORM_MS: u64 = 60_000;
    for pause_ms in [2_000, 7_000, 15_000] {
        let mut budget = WindowedRetryBudget::new(SETTINGS, 0);
        let mut requests = Vec::new();
        let mut arrivals = Vec::new();
        let mut waiting = 0;
        for now_ms in (0..STORM_MS).step_by(20) {
            let is_paused = now_ms >= 10_000 && now_ms % (2 * pause_ms) < pause_ms;
            if !is_paused {
                for _ in 0..std::mem::take(&mut waiting) {
                    budget.record_arrival(now_ms);
                    arrivals.push(now_ms);
                }
            }
            budget.record_request(now_ms);
            requests.push(now_ms);
            for _ in 0..2 {
                if !budget.try_acquire(now_ms, Fleet::known(1)) {
                    continue;
                }
                if is_paused {
                    budget.defer_arrival(now_ms);
                    waiting += 1;
                } else {
                    arrivals.push(now_ms);
                }
            }
        }
        let within = |times: &[u64], from: u64| {
            let is_within = |ms: &&u64| (from..from + SETTINGS.window_ms).contains(*ms);
            times.iter().filter(is_within).count() as f64
        };
        for from in (10_000..STORM_MS - SETTINGS.window_ms).step_by(100) {
            let allowed = within(&requests, from) * SETTINGS.ratio + SETTINGS.floor;
            let used = within(&arrivals, from);
            assert!(
                used <= allowed,
                "{used} of {allowed} from {from}, pauses of {pause_ms} ms"
            );
        }
        assert!(arrivals.len() as f64 > requests.len() as f64 * 0.2);
    }
}
