//! Compares the value to callers of the cascade over model sizes with that of its baselines.

mod common;

use common::{policies, simulate};

/// A request rate and the policies that the router's own must beat at this rate.
struct Case {
    name: &'static str,
    per_s: f64,
    beats: &'static [&'static str],
}

/// Under light load the cost of the large model decides, under heavy load the wait for it.
const CASES: &[Case] = &[
    Case {
        name: "light load",
        per_s: 40.0,
        beats: &["always the largest", "always the smallest"],
    },
    Case {
        name: "beyond the capacity of the large model alone",
        per_s: 80.0,
        beats: &["always the largest", "always the smallest"],
    },
    Case {
        name: "beyond the capacity with a fixed threshold",
        per_s: 100.0,
        beats: &["always the largest", "fixed threshold"],
    },
];

#[test]
fn the_cascade_beats_its_baselines_at_each_load() {
    for case in CASES {
        let policies = policies();
        let value = |name: &str| {
            let policy = policies.iter().find(|policy| policy.name == name).unwrap();
            simulate(policy, case.per_s)
        };
        let own = value("adaptive threshold");
        for other in case.beats {
            let theirs = value(other);
            assert!(
                own > theirs,
                "{}: {own} and {theirs} for {other}",
                case.name
            );
        }
    }
}
