//! Rate limits of endpoints divided over instances that all have more requests than that.

use limits::{EndpointRate, RateDivision};

/// The span over which the users count arrivals, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// What they allow in it: half as much again as the limit, and a few requests.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Returns when requests arrive if each instance sends as soon as it may.
fn arrivals(limit_per_s: f64, instances: usize, duration_ms: u64) -> Vec<u64> {
    let mut rates: Vec<EndpointRate> = (0..instances)
        .map(|rank| {
            let division = RateDivision {
                limit_per_s,
                rank,
                instances,
            };
            EndpointRate::new(division, 0)
        })
        .collect();
    let mut arrivals = Vec::new();
    for now_ms in (0..duration_ms).step_by(10) {
        for rate in &mut rates {
            if rate.try_acquire(now_ms) {
                arrivals.push(now_ms);
            }
        }
    }
    arrivals
}

#[test]
fn all_instances_together_keep_the_limit_in_every_window_and_use_it() {
    const DURATION_MS: u64 = 60_000;
    for limit_per_s in [0.0, 0.4, 1.5, 2.3, 3.3, 12.0, 80.0] {
        for instances in [1, 2, 6, 79, 410] {
            let arrivals = arrivals(limit_per_s, instances, DURATION_MS);
            for begin in &arrivals {
                let is_in = |at: &&u64| (*begin..begin + WINDOW_MS).contains(at);
                let count = arrivals.iter().filter(is_in).count();
                assert!(
                    count <= allowed(limit_per_s),
                    "{count} at {limit_per_s} a second from {instances} instances"
                );
            }
            let used = arrivals.len() as f64 * 1_000.0 / DURATION_MS as f64;
            assert!(
                used >= 0.9 * limit_per_s,
                "{used} of {limit_per_s} a second by {instances} instances"
            );
        }
    }
}

#[test]
fn an_instance_that_gains_a_share_begins_with_no_request_at_once() {
    let division = RateDivision {
        limit_per_s: 1.0,
        rank: 9,
        instances: 10,
    };
    let mut rate = EndpointRate::new(division, 0);
    assert!(!rate.is_open(10_000));
    rate.set_division(
        RateDivision {
            rank: 0,
            ..division
        },
        10_000,
    );
    assert!(!rate.is_open(10_000));
    assert!(rate.is_open(14_000));
}
