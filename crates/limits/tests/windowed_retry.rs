//! The budget of repeats holds in every window, for all instances together.

use limits::{WindowedRetryBudget, WindowedRetrySettings};

const SETTINGS: WindowedRetrySettings = WindowedRetrySettings {
    ratio: 0.5,
    floor: 12.0,
    window_ms: 10_000,
};

/// Plays an outage in which every request wants to be repeated, at several instances.
#[test]
fn no_window_of_a_storm_holds_more_than_the_budget() {
    const INSTANCES: usize = 6;
    let mut windows: Vec<WindowedRetryBudget> = (0..INSTANCES)
        .map(|_| WindowedRetryBudget::new(SETTINGS))
        .collect();
    let mut random = fastrand::Rng::with_seed(11);
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for now_ms in (0..60_000_u64).step_by(10) {
        let window = &mut windows[random.usize(..INSTANCES)];
        window.record_request(now_ms);
        requests.push(now_ms);
        for _ in 0..3 {
            if window.try_acquire(now_ms, INSTANCES) {
                repeats.push(now_ms);
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
        // The users count the requests of the window before as well, which covers a window's edge.
        let earlier =
            within(&requests, from.saturating_sub(10_000)) * SETTINGS.ratio + SETTINGS.floor;
        let used = within(&repeats, from);
        assert!(
            used <= allowed.max(earlier) * 1.05,
            "{used} of {allowed} from {from}"
        );
    }
    assert!(
        repeats.len() as f64 > requests.len() as f64 * 0.4,
        "the budget is there to be used"
    );
}

#[test]
fn the_floor_is_split_among_instances() {
    let mut alone = WindowedRetryBudget::new(SETTINGS);
    let mut one_of_six = WindowedRetryBudget::new(SETTINGS);
    let taken = |window: &mut WindowedRetryBudget, instances| {
        (0..50).filter(|_| window.try_acquire(0, instances)).count()
    };
    assert_eq!(taken(&mut alone, 1), 12);
    assert_eq!(taken(&mut one_of_six, 6), 2);
}
