//! Tests of the selection of members.

use kernel::Incarnation;
use member::{Member, spread_over_zones, store_watchers};

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

/// The members that the store does not answer (`x`), by rank, and how many of the first watch it.
struct WatchCase {
    name: &'static str,
    lost: &'static str,
    watchers: u64,
}

/// One watcher that the store answered stopped when others had lost it.
#[test]
fn a_member_that_the_store_answers_watches_on_while_others_have_lost_it() {
    let cases = [
        WatchCase {
            name: "none",
            lost: ".........",
            watchers: 2,
        },
        WatchCase {
            name: "one of the first",
            lost: "x........",
            watchers: 2,
        },
        WatchCase {
            name: "all of the first",
            lost: "xx.......",
            watchers: 4,
        },
        WatchCase {
            name: "all of the next too",
            lost: "xxxx.....",
            watchers: 8,
        },
        WatchCase {
            name: "all but one that watches",
            lost: "xxxxx.xxx",
            watchers: 8,
        },
        WatchCase {
            name: "all but one that does not watch",
            lost: "xxxxxxxx.",
            watchers: 2,
        },
        WatchCase {
            name: "all",
            lost: "xxxxxxxxx",
            watchers: 2,
        },
    ];
    for case in cases {
        let mut members = Vec::new();
        for (number, mark) in (0_u64..).zip(case.lost.chars()) {
            let mut member = Member::new(Incarnation::from_u64(number), "m", "a");
            member.lost_store = mark == 'x';
            members.push(member);
        }
        let alive: Vec<&Member> = members.iter().collect();
        let watchers = store_watchers(&alive, 2);
        let numbers: Vec<u64> = watchers
            .iter()
            .map(|member| member.incarnation.as_u64())
            .collect();
        let first: Vec<u64> = (0..case.watchers).collect();
        assert_eq!(numbers, first, "{}", case.name);
    }
}
