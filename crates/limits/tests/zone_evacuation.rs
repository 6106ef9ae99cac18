//! The share of the requests that leaves an evacuated zone.

use limits::ZoneEvacuation;

const ALLOWED_MS: u64 = 5_000;

/// Guards against a zone that gets requests after half of the time, and against steps by which the
/// endpoints of other zones would get much more at once.
#[test]
fn traffic_leaves_and_returns_in_small_steps_within_half_of_the_time() {
    let mut evacuation = ZoneEvacuation::begin(ALLOWED_MS, 1_000);
    let mut last = 0.0;
    for now_ms in 1_000..1_000 + ALLOWED_MS {
        let rise = evacuation.share(now_ms) - last;
        assert!((0.0..0.11).contains(&rise), "{rise} at {now_ms} ms");
        last += rise;
        assert_eq!(evacuation.is_complete(now_ms), last > 0.99);
    }
    assert!(evacuation.is_complete(1_000 + ALLOWED_MS / 2));
    evacuation.revoke(90_000);
    for now_ms in 90_000..90_000 + ALLOWED_MS {
        let fall = last - evacuation.share(now_ms);
        assert!((0.0..0.11).contains(&fall), "{fall} at {now_ms} ms");
        last -= fall;
    }
    assert!(evacuation.is_over(90_000 + ALLOWED_MS / 2));
}

/// Guards against a jump when an order changes before all traffic has moved, and against a ramp that
/// begins again with each copy of the same order.
#[test]
fn an_order_that_is_revoked_and_given_again_goes_on_from_the_share_reached() {
    let mut evacuation = ZoneEvacuation::begin(ALLOWED_MS, 0);
    evacuation.order(700);
    assert_eq!(evacuation.share(700), 0.3);
    evacuation.revoke(700);
    assert_eq!(evacuation.share(700), 0.2);
    evacuation.order(800);
    assert_eq!(evacuation.share(800), 0.3);
    assert!(!evacuation.is_over(800) && evacuation.is_complete(800 + ALLOWED_MS / 2));
}

/// Guards against requests to the zone from an instance that starts while it is evacuated, and against
/// a division by the length of a step of 0.
#[test]
fn a_zone_is_evacuated_at_once_by_new_instances_and_without_time() {
    assert!(ZoneEvacuation::complete(ALLOWED_MS, 0).is_complete(0));
    for allowed_ms in [0, 1, 19] {
        let mut evacuation = ZoneEvacuation::begin(allowed_ms, 5);
        assert!(evacuation.is_complete(5));
        evacuation.revoke(5);
        assert!(evacuation.is_over(5));
    }
}
