//! Compares what callers get from the cascade over model sizes with what its baselines give them.

mod common;

use common::{Policy, Size, TWO_SIZES, World, simulate};
use policy::{Cascade, CurrentAnswer, SizeOutlook};

/// Sizes of which the one in between serves most requests, and the smallest few.
const GOOD_MIDDLE: &[Size] = &[
    Size {
        max_hardness: 0.2,
        work_ms: 20.0,
        cost: 0.017,
    },
    Size {
        max_hardness: 0.85,
        work_ms: 50.0,
        cost: 0.06,
    },
    Size {
        max_hardness: 1.0,
        work_ms: 200.0,
        cost: 0.26,
    },
];

const BASELINES: &[Policy] = &[
    Policy::Smallest,
    Policy::Largest,
    Policy::FixedThreshold(50),
];

/// A world and the baselines that the router's own policy must beat in it.
struct Case {
    name: &'static str,
    world: World,
    beats: &'static [Policy],
}

const fn world(sizes: &'static [Size], per_s: f64, burst: f64) -> World {
    World {
        sizes,
        per_s,
        burst,
    }
}

/// Under light load the cost of the large model decides, under heavy load the wait for it.
const CASES: &[Case] = &[
    Case {
        name: "light load",
        world: world(TWO_SIZES, 40.0, 1.0),
        beats: &[Policy::Smallest, Policy::Largest],
    },
    Case {
        name: "beyond the capacity of the large model",
        world: world(TWO_SIZES, 80.0, 1.0),
        beats: &[Policy::Smallest, Policy::Largest],
    },
    Case {
        name: "beyond the capacity of a fixed threshold",
        world: world(TWO_SIZES, 100.0, 1.0),
        beats: BASELINES,
    },
    Case {
        name: "bursts of three times the rate",
        world: world(TWO_SIZES, 50.0, 3.0),
        beats: BASELINES,
    },
    Case {
        name: "a good size in between, light load",
        world: world(GOOD_MIDDLE, 30.0, 1.0),
        beats: BASELINES,
    },
    Case {
        name: "a good size in between, heavy load",
        world: world(GOOD_MIDDLE, 80.0, 1.0),
        beats: BASELINES,
    },
];

#[test]
fn callers_get_more_than_from_the_baselines_at_each_load() {
    for case in CASES {
        let own = simulate(&case.world, Policy::ExpectedGain);
        for policy in case.beats {
            let other = simulate(&case.world, *policy);
            assert!(
                own.value > other.value,
                "{}: {own:?} and {other:?} for {policy:?}",
                case.name
            );
        }
    }
}

/// The share of late requests in bursts to which a fixed threshold does not react.
#[test]
fn bursts_make_few_requests_late() {
    let bursts = world(TWO_SIZES, 50.0, 3.0);
    let own = simulate(&bursts, Policy::ExpectedGain);
    let fixed = simulate(&bursts, Policy::FixedThreshold(50));
    assert!(own.late < 0.05, "{own:?}");
    assert!(fixed.late > 4.0 * own.late, "{fixed:?} and {own:?}");
}

/// One decision on an answer of the smallest of three sizes, with the size that runs next.
struct Decision {
    name: &'static str,
    confidence: Option<u8>,
    wait_share: f64,
    objective_left_ms: f64,
    max_runs: u32,
    expected: Option<usize>,
}

const UNSURE: Decision = Decision {
    name: "unsure, idle engines",
    confidence: Some(10),
    wait_share: 0.0,
    objective_left_ms: 900.0,
    max_runs: 2,
    expected: Some(2),
};

const DECISIONS: &[Decision] = &[
    UNSURE,
    Decision {
        name: "no confidence",
        confidence: None,
        ..UNSURE
    },
    Decision {
        name: "sure",
        confidence: Some(90),
        expected: None,
        ..UNSURE
    },
    Decision {
        name: "no run left",
        max_runs: 0,
        expected: None,
        ..UNSURE
    },
    Decision {
        name: "somewhat unsure, idle engines",
        confidence: Some(44),
        ..UNSURE
    },
    Decision {
        name: "somewhat unsure, short of engine time",
        confidence: Some(44),
        wait_share: 0.3,
        expected: None,
        ..UNSURE
    },
    Decision {
        name: "somewhat unsure, too late for the objective",
        confidence: Some(44),
        objective_left_ms: 100.0,
        expected: None,
        ..UNSURE
    },
    Decision {
        name: "unsure, very short of engine time",
        wait_share: 0.5,
        expected: None,
        ..UNSURE
    },
];

#[test]
fn an_answer_is_replaced_if_the_expected_gain_is_worth_the_engine_time() {
    let size = |good_share, relative_time, first_event_ms| SizeOutlook {
        good_share,
        relative_time,
        first_event_ms,
        run: None,
    };
    let sizes = [
        size(0.56, 0.1, 20.0),
        size(0.65, 0.3, 60.0),
        size(1.0, 1.0, 200.0),
    ];
    for decision in DECISIONS {
        let cascade = Cascade::new(0.3, decision.wait_share, 0.5);
        let answer = CurrentAnswer {
            size: 0,
            confidence: decision.confidence,
            objective_left_ms: decision.objective_left_ms,
            end_chance: 1.0,
        };
        let next = cascade.next_size(&sizes, &answer, decision.max_runs);
        assert_eq!(next, decision.expected, "{}", decision.name);
    }
}

#[test]
fn the_first_size_is_skipped_only_if_it_is_nearly_always_unsure() {
    let cases = [
        ("half of the requests", [0.56, 0.65, 1.0], 3, 0),
        (
            "nearly no requests, the next one most",
            [0.04, 0.85, 1.0],
            3,
            1,
        ),
        ("one run only, few requests", [0.1, 0.2, 1.0], 1, 2),
    ];
    for (name, good_shares, max_runs, expected) in cases {
        let times = [0.1, 0.25, 1.0];
        let mut sizes = Vec::new();
        for (good_share, relative_time) in good_shares.into_iter().zip(times) {
            sizes.push(SizeOutlook {
                good_share,
                relative_time,
                first_event_ms: 100.0,
                run: None,
            });
        }
        let first = Cascade::new(0.3, 0.0, 0.5).first_size(&sizes, 1_000.0, max_runs);
        assert_eq!(first, expected, "{name}");
    }
}
