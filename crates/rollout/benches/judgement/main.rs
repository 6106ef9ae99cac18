//! Measures how often good and bad versions are judged acceptable, by the outcomes on them.
//!
//! A small generator draws calls of two classes: orders, of which one in 250 fails, and look-ups, of
//! which one in seven fails whatever the version. Times are log-normal. The comparison is the crate's.

use bpaf::Bpaf;
use fastrand::Rng;
use rollout::{Comparison, Evidence, Judgement};
use serde_json::json;

/// Print the shares of versions that are kept and withdrawn.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// The number of versions of each kind.
    #[bpaf(argument("N"), fallback(1000))]
    versions: u64,
    /// The number of outcomes on the old version.
    #[bpaf(argument("N"), fallback(450))]
    old: u64,
    /// Print the JSON line only.
    json: bool,
    /// Ignored; cargo passes it to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

/// A kind of call.
struct Class {
    name: &'static str,
    share: f64,
    failed_share: f64,
}

const CLASSES: [Class; 2] = [
    Class {
        name: "orders",
        share: 0.72,
        failed_share: 0.004,
    },
    Class {
        name: "lookups",
        share: 0.28,
        failed_share: 0.14,
    },
];

/// A kind of version; its faults hit half of its calls.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    /// The class whose calls fail, or none.
    fails: Option<&'static str>,
    /// The factor on the time of the slowed calls.
    slowdown: f64,
    /// The factor on the times of all calls, as endpoints differ.
    endpoint: f64,
}

const GOOD: Kind = Kind {
    name: "good",
    fails: None,
    slowdown: 1.0,
    endpoint: 1.0,
};

const KINDS: [Kind; 9] = [
    GOOD,
    Kind {
        name: "good, endpoint 1.3 times slower",
        endpoint: 1.3,
        ..GOOD
    },
    Kind {
        name: "slow by 2",
        slowdown: 2.0,
        ..GOOD
    },
    Kind {
        name: "slow by 3",
        slowdown: 3.0,
        ..GOOD
    },
    Kind {
        name: "slow by 5",
        slowdown: 5.0,
        ..GOOD
    },
    Kind {
        name: "slow by 8",
        slowdown: 8.0,
        ..GOOD
    },
    Kind {
        name: "all classes fail",
        fails: Some(""),
        ..GOOD
    },
    Kind {
        name: "orders fail",
        fails: Some("orders"),
        ..GOOD
    },
    Kind {
        name: "lookups fail",
        fails: Some("lookups"),
        ..GOOD
    },
];

const OUTCOMES: [u64; 4] = [20, 30, 44, 58];

/// The share of a bad version's calls that its fault hits.
const FAULT_SHARE: f64 = 0.5;

/// The median and the spread of the times of calls, in milliseconds and nats.
const MEDIAN_MS: f64 = 17.0;
const SPREAD_NATS: f64 = 0.45;

/// Returns a number from a standard normal distribution, as a sum of uniform ones.
fn normal(rng: &mut Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

fn outcomes(kind: Kind, count: u64, rng: &mut Rng) -> Evidence {
    let mut evidence = Evidence::default();
    for _ in 0..count {
        let class = &CLASSES[usize::from(rng.f64() >= CLASSES[0].share)];
        let counts = evidence.class_mut(&class.name.into());
        let is_hit = rng.f64() < FAULT_SHARE;
        let fails = kind
            .fails
            .is_some_and(|name| name.is_empty() || name == class.name);
        if rng.f64() < class.failed_share || (is_hit && fails) {
            counts.failed += 1;
            continue;
        }
        let slowdown = if is_hit { kind.slowdown } else { 1.0 };
        let time_ms = MEDIAN_MS * (SPREAD_NATS * normal(rng)).exp() * slowdown * kind.endpoint;
        counts.answered += 1;
        counts.times.record(time_ms);
    }
    evidence
}

/// Returns how many of a kind's versions are acceptable, from 0 to 1.
fn kept_share(kind: Kind, count: u64, args: &Args, rng: &mut Rng) -> f64 {
    let mut kept = 0;
    for _ in 0..args.versions {
        let old = outcomes(GOOD, args.old, rng);
        let new = outcomes(kind, count, rng);
        let judgement = Comparison::new(&new, &old).judgement();
        kept += u64::from(judgement == Judgement::Acceptable);
    }
    kept as f64 / args.versions.max(1) as f64
}

fn main() {
    let args = args().run();
    let mut rng = Rng::with_seed(29);
    let mut rows = Vec::new();
    if !args.json {
        println!("share of versions kept, by outcomes: {OUTCOMES:?}");
    }
    for kind in KINDS {
        let shares: Vec<f64> = OUTCOMES
            .iter()
            .map(|count| kept_share(kind, *count, &args, &mut rng))
            .collect();
        if !args.json {
            println!("{:<32} {shares:.3?}", kind.name);
        }
        rows.push(json!({ "kind": kind.name, "kept": shares }));
    }
    println!(
        "{}",
        json!({ "versions": args.versions, "outcomes": OUTCOMES, "kinds": rows })
    );
}
