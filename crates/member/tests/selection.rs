//! Tests of the selection of members.

use kernel::Incarnation;
use member::{Member, spread_over_zones};

/// The zones of the members in order, and the members expected by number from 0.
struct Case {
    zones: &'static str,
    count: usize,
    expected: &'static [u64],
}

#[test]
fn members_are_spread_over_zones() {
    let cases = [
        Case {
            zones: "aaaabc",
            count: 4,
            expected: &[0, 4, 5, 1],
        },
        Case {
            zones: "aaabb",
            count: 2,
            expected: &[0, 3],
        },
        Case {
            zones: "aaa",
            count: 2,
            expected: &[0, 1],
        },
        Case {
            zones: "cba",
            count: 2,
            expected: &[0, 1],
        },
        Case {
            zones: "ab",
            count: 4,
            expected: &[0, 1],
        },
    ];
    for case in cases {
        let mut members = Vec::new();
        for (number, zone) in case.zones.chars().enumerate() {
            let incarnation = Incarnation::from_u64(number as u64);
            members.push(Member::new(incarnation, "entry", &zone.to_string()));
        }
        let members: Vec<&Member> = members.iter().collect();
        let chosen = spread_over_zones(&members, case.count);
        let chosen: Vec<u64> = chosen.iter().map(|m| m.incarnation.as_u64()).collect();
        assert_eq!(chosen, case.expected, "zones {}", case.zones);
    }
}
