//! Quota enforcement over instances with skewed and moving demand.

use bpaf::Bpaf;
use limits::{QuotaShare, TokenBucket};
use serde_json::json;

/// Compare strategies for splitting a quota.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Number of seeds.
    #[bpaf(argument("N"), fallback(10))]
    seeds: u64,
    /// Print the JSON line only.
    json: bool,
    /// Cargo passes this to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

const QUOTA_PER_S: f64 = 100.0;

const RUN_S: u64 = 120;

const TICKS_PER_S: u64 = 20;

/// How long the hot spot stays at one instance.
const HOT_SPOT_S: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
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
    /// Whether peers stop answering half-way through the run.
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
    /// The highest rate admitted over 5 seconds relative to the quota, minus 1.
    overshoot: f64,
    /// The share of the requests within the quota that were refused.
    unused: f64,
}

fn run(strategy: Strategy, case: Case, seed: u64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut shares: Vec<QuotaShare> = (0..case.instances)
        .map(|_| QuotaShare::new(QUOTA_PER_S, case.instances))
        .collect();
    let equal = QUOTA_PER_S / case.instances as f64;
    let mut buckets: Vec<TokenBucket> = (0..case.instances)
        .map(|_| TokenBucket::new(equal, 1.0, 0))
        .collect();
    let mut requested = vec![0u64; case.instances];
    let mut per_second = Vec::new();
    let mut demand = Vec::new();
    for second in 0..RUN_S {
        let hot = (second / HOT_SPOT_S) as usize % case.instances;
        let (mut admitted, mut offered) = (0u64, 0u64);
        for tick in 0..TICKS_PER_S {
            let now_ms = second * 1000 + tick * 1000 / TICKS_PER_S;
            let expected = QUOTA_PER_S * case.offered / TICKS_PER_S as f64;
            let count = expected as u64 + u64::from(random.f64() < expected.fract());
            for _ in 0..count {
                let at = if random.f64() < case.hot {
                    hot
                } else {
                    random.usize(..case.instances)
                };
                requested[at] += 1;
                offered += 1;
                if strategy == Strategy::Averaged {
                    buckets[at].set_rate(shares[at].rate_per_s(now_ms), now_ms);
                }
                admitted += u64::from(buckets[at].try_acquire(now_ms).is_ok());
            }
        }
        let silent = case.silent && second >= RUN_S / 2;
        gossip(
            &mut shares,
            &mut requested,
            (second + 1) * 1000,
            silent,
            &mut random,
        );
        per_second.push(admitted);
        demand.push(offered);
    }
    let overshoot = per_second
        .windows(5)
        .map(|window| window.iter().sum::<u64>() as f64 / 5.0 / QUOTA_PER_S);
    let allowed: f64 = demand
        .iter()
        .map(|offered| (*offered as f64).min(QUOTA_PER_S))
        .sum();
    let used: f64 = per_second
        .iter()
        .zip(&demand)
        .map(|(admitted, offered)| (*admitted).min(*offered) as f64)
        .sum();
    Outcome {
        overshoot: overshoot.fold(0.0, f64::max) - 1.0,
        unused: (1.0 - used / allowed).max(0.0),
    }
}

/// One gossip round: each instance averages with one other; 1% of the replies are lost.
fn gossip(
    shares: &mut [QuotaShare],
    requested: &mut [u64],
    now_ms: u64,
    silent: bool,
    random: &mut fastrand::Rng,
) {
    for (share, requested) in shares.iter_mut().zip(requested) {
        share.record_demand(*requested as f64);
        *requested = 0;
    }
    if silent {
        return;
    }
    for from in 0..shares.len() {
        let to = (from + 1 + random.usize(..shares.len() - 1)) % shares.len();
        let mean_per_s = shares[from].mean_per_s();
        let average = shares[to].average_with(mean_per_s, now_ms);
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
        for strategy in [Strategy::Averaged, Strategy::Equal] {
            let outcomes: Vec<Outcome> = (0..args.seeds)
                .map(|seed| run(strategy, case, seed))
                .collect();
            let overshoot = mean(outcomes.iter().map(|outcome| outcome.overshoot));
            let unused = mean(outcomes.iter().map(|outcome| outcome.unused));
            if !args.json {
                println!(
                    "{:<26} {strategy:<9?} overshoot {overshoot:>7.3}  unused {unused:>6.3}",
                    case.name
                );
            }
            let key = format!("{} / {strategy:?}", case.name);
            figures.insert(key, json!({ "overshoot": overshoot, "unused": unused }));
        }
    }
    println!("{}", serde_json::Value::Object(figures));
}
