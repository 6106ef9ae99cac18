//! What callers get by the choice of the model's size.

mod common;

use common::{play, policies};

/// The load that a rate is, with the policies that the router's own must beat there.
struct Case {
    load: &'static str,
    per_s: f64,
    beats: &'static [&'static str],
}

/// On a quiet day the price of the large model decides, on a heavy one the wait for it.
const CASES: &[Case] = &[
    Case {
        load: "a quiet day",
        per_s: 40.0,
        beats: &["always the largest", "always the smallest"],
    },
    Case {
        load: "more than the large model alone can answer",
        per_s: 80.0,
        beats: &["always the largest", "always the smallest"],
    },
    Case {
        load: "more than a fixed threshold leaves time for",
        per_s: 100.0,
        beats: &["always the largest", "fixed threshold"],
    },
];

#[test]
fn the_ladder_serves_callers_best_at_each_load() {
    for case in CASES {
        let policies = policies();
        let worth = |name: &str| {
            let policy = policies.iter().find(|policy| policy.name == name).unwrap();
            play(policy, case.per_s)
        };
        let own = worth("ladder");
        for other in case.beats {
            let theirs = worth(other);
            assert!(
                own > theirs,
                "{}: {own} and {theirs} for {other}",
                case.load
            );
        }
    }
}
