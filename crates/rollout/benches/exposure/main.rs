//! Measures the exposure to versions that turn bad during a roll-out.
//!
//! A small generator makes requests and delayed ratings; allowances, evidence, tests and the
//! controller are those of the crate.

mod trial;

use bpaf::Bpaf;
use serde_json::json;
use trial::{Fault, Method, Outcome, Trial};

/// Compare methods of rolling out.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// The number of seeds.
    #[bpaf(argument("N"), fallback(20))]
    seeds: u64,
    /// The number of instances.
    #[bpaf(argument("N"), fallback(6))]
    instances: usize,
    /// Print the JSON line only.
    json: bool,
    /// Ignored; cargo passes it to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

const METHODS: [Method; 3] = [Method::Ours, Method::WeightsAlone, Method::ErrorBreaker];
const FAULTS: [Fault; 5] = [
    Fault::Slightly,
    Fault::Badly,
    Fault::OneClass,
    Fault::OnlySlow,
    Fault::Failing,
];
const LAGS_S: [u64; 3] = [2, 20, 60];

/// Good roll-outs per seed. False stops are rare, so that many runs are needed to count them.
const GOOD_RUNS: u64 = 20;

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn run(method: Method, fault: Option<Fault>, lag_s: u64, args: &Args, seeds: u64) -> Vec<Outcome> {
    (0..seeds)
        .map(|seed| Trial::new(method, fault, lag_s, args.instances, seed).run())
        .collect()
}

fn main() {
    let args = args().run();
    let mut reached = [0.0; 3];
    if !args.json {
        println!(
            "{:<10} {:>5} {:>14} {:>10} {:>10}",
            "fault", "lag s", "method", "reached", "stop s"
        );
    }
    for fault in FAULTS {
        for lag_s in LAGS_S {
            for (index, method) in METHODS.into_iter().enumerate() {
                let outcomes = run(method, Some(fault), lag_s, &args, args.seeds);
                let callers = mean(outcomes.iter().map(|outcome| outcome.reached as f64));
                reached[index] += callers;
                if !args.json {
                    let stop = mean(outcomes.iter().map(|outcome| outcome.stop_after_s));
                    println!(
                        "{:<10} {lag_s:>5} {:>14} {callers:>10.1} {stop:>10.1}",
                        format!("{fault:?}"),
                        format!("{method:?}")
                    );
                }
            }
        }
    }
    let mut good = Vec::new();
    let mut times = Vec::new();
    for lag_s in LAGS_S {
        let outcomes = run(Method::Ours, None, lag_s, &args, args.seeds * GOOD_RUNS);
        let base = run(Method::WeightsAlone, None, lag_s, &args, 1)[0].done_after_s;
        let done: Vec<f64> = outcomes
            .iter()
            .filter(|outcome| !outcome.stopped)
            .map(|outcome| outcome.done_after_s)
            .collect();
        times.push(mean(done.into_iter()) / base);
        good.extend(outcomes);
    }
    let stopped = mean(
        good.iter()
            .map(|outcome| if outcome.stopped { 1.0 } else { 0.0 }),
    );
    let figures = json!({
        "seeds": args.seeds,
        "instances": args.instances,
        "callers_reached_ratio": reached[1].min(reached[2]) / reached[0],
        "false_stop_share": stopped,
        "good_rollouts": good.len(),
        "good_rollout_time_ratio": times.iter().copied().fold(0.0, f64::max),
        "good_rollout_time_ratio_by_lag": times,
    });
    println!("{figures}");
}
