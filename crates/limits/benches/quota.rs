//! Quotas held over instances with skewed and moving demand.

use bpaf::Bpaf;
use limits::{QuotaShare, TokenBucket};
use serde_json::json;

/// Compare ways of splitting a quota.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// How many seeds.
    #[bpaf(argument("N"), fallback(10))]
    seeds: u64,
    /// Print the JSON line only.
    json: bool,
    /// Cargo passes this to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

/// The quota, in requests a second.
const QUOTA: f64 = 100.0;

/// The length of a run, in seconds.
const RUN_S: u64 = 120;

/// Ticks in a second.
const TICKS_PER_S: u64 = 20;

/// How long the hot spot stays at one instance, in seconds.
const HOT_S: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Averaged,
    Equal,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    instances: usize,
    /// The offered load as a share of the quota.
    offered: f64,
    /// The share of the load that goes to the hot spot.
    hot: f64,
    /// Whether peers fall silent half-way.
    silent: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "half load, hot spot",
        instances: 6,
        offered: 0.5,
        hot: 0.7,
        silent: false,
    },
    Case {
        name: "twice the load, hot spot",
        instances: 6,
        offered: 2.0,
        hot: 0.7,
        silent: false,
    },
    Case {
        name: "twice the load, even",
        instances: 6,
        offered: 2.0,
        hot: 0.0,
        silent: false,
    },
    Case {
        name: "peers fall silent",
        instances: 6,
        offered: 2.0,
        hot: 0.7,
        silent: true,
    },
    Case {
        name: "410 instances, hot spot",
        instances: 410,
        offered: 0.5,
        hot: 0.2,
        silent: false,
    },
];

#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    /// The most that was let through in any 5 seconds, over the quota.
    overshoot: f64,
    /// The share of what the quota allowed and callers asked for that was refused.
    unused: f64,
}

fn run(way: Way, case: Case, seed: u64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut shares: Vec<QuotaShare> = (0..case.instances)
        .map(|_| QuotaShare::new(QUOTA, case.instances))
        .collect();
    let equal = QUOTA / case.instances as f64;
    let mut buckets: Vec<TokenBucket> = (0..case.instances)
        .map(|_| TokenBucket::new(equal, 1.0, 0))
        .collect();
    let mut asked = vec![0u64; case.instances];
    let mut per_second = Vec::new();
    let mut demand = Vec::new();
    for second in 0..RUN_S {
        let hot = (second / HOT_S) as usize % case.instances;
        let (mut passed, mut offered) = (0u64, 0u64);
        for tick in 0..TICKS_PER_S {
            let now_ms = second * 1000 + tick * 1000 / TICKS_PER_S;
            let expected = QUOTA * case.offered / TICKS_PER_S as f64;
            let count = expected as u64 + u64::from(random.f64() < expected.fract());
            for _ in 0..count {
                let at = if random.f64() < case.hot {
                    hot
                } else {
                    random.usize(..case.instances)
                };
                asked[at] += 1;
                offered += 1;
                if way == Way::Averaged {
                    buckets[at].set_rate(shares[at].rate_per_s(now_ms), now_ms);
                }
                passed += u64::from(buckets[at].try_acquire(now_ms).is_ok());
            }
        }
        let silent = case.silent && second >= RUN_S / 2;
        exchange(
            &mut shares,
            &mut asked,
            (second + 1) * 1000,
            silent,
            &mut random,
        );
        per_second.push(passed);
        demand.push(offered);
    }
    let overshoot = per_second
        .windows(5)
        .map(|window| window.iter().sum::<u64>() as f64 / 5.0 / QUOTA);
    let allowed: f64 = demand
        .iter()
        .map(|offered| (*offered as f64).min(QUOTA))
        .sum();
    let used: f64 = per_second
        .iter()
        .zip(&demand)
        .map(|(passed, offered)| (*passed).min(*offered) as f64)
        .sum();
    Outcome {
        overshoot: overshoot.fold(0.0, f64::max) - 1.0,
        unused: (1.0 - used / allowed).max(0.0),
    }
}

/// One round of probes: each instance meets one other; a few messages are lost.
fn exchange(
    shares: &mut [QuotaShare],
    asked: &mut [u64],
    now_ms: u64,
    silent: bool,
    random: &mut fastrand::Rng,
) {
    for (share, asked) in shares.iter_mut().zip(asked) {
        share.record_demand(*asked as f64);
        *asked = 0;
    }
    if silent {
        return;
    }
    for from in 0..shares.len() {
        let to = (from + 1 + random.usize(..shares.len() - 1)) % shares.len();
        let told = shares[from].mean_per_s();
        let average = shares[to].average_with(told, now_ms);
        if random.f64() > 0.01 {
            shares[from].apply_average(average, now_ms);
        }
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn main() {
    let args = args().run();
    let mut figures = serde_json::Map::new();
    for case in CASES {
        for way in [Way::Averaged, Way::Equal] {
            let outcomes: Vec<Outcome> = (0..args.seeds).map(|seed| run(way, case, seed)).collect();
            let overshoot = mean(outcomes.iter().map(|outcome| outcome.overshoot));
            let unused = mean(outcomes.iter().map(|outcome| outcome.unused));
            if !args.json {
                println!(
                    "{:<26} {way:<9?} overshoot {overshoot:>7.3}  unused {unused:>6.3}",
                    case.name
                );
            }
            let key = format!("{} / {way:?}", case.name);
            figures.insert(key, json!({ "overshoot": overshoot, "unused": unused }));
        }
    }
    println!("{}", serde_json::Value::Object(figures));
}
