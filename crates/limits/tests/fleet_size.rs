//! The size of the fleet by which limits are divided.

use limits::{Fleet, FleetSize};

/// Number of configured instances, how many are seen at a time in seconds, and the fleet at the end.
type Case = (usize, &'static [(u64, usize)], Fleet);

const UNKNOWN_FOUR: Fleet = Fleet {
    instances: 4,
    is_known: false,
};

#[test]
fn a_limit_is_divided_by_the_largest_recent_fleet() {
    let cases: &[Case] = &[
        (1, &[(0, 0)], Fleet::known(1)),
        (1, &[(0, 1)], Fleet::known(1)),
        (4, &[(0, 1)], UNKNOWN_FOUR),
        (4, &[(0, 1), (600, 1)], UNKNOWN_FOUR),
        (4, &[(0, 1), (1, 2)], Fleet::known(4)),
        (4, &[(0, 6), (1, 1)], Fleet::known(6)),
        (4, &[(0, 6), (1, 1), (600, 1)], Fleet::known(4)),
        (1, &[(0, 6), (30, 3), (60, 1), (110, 1)], Fleet::known(6)),
        (1, &[(0, 6), (30, 3), (60, 1), (130, 1)], Fleet::known(3)),
        (1, &[(0, 6), (30, 3), (60, 1), (160, 1)], Fleet::known(1)),
        (1, &[(0, 2), (1, 6), (2, 4)], Fleet::known(6)),
    ];
    for (configured, seen, expected) in cases {
        let mut fleet_size = FleetSize::new(*configured);
        let mut fleet = Fleet::known(0);
        for (at_s, size) in *seen {
            fleet = fleet_size.record(at_s * 1_000, *size);
        }
        assert_eq!(fleet, *expected, "{configured} configured, {seen:?}");
    }
}
