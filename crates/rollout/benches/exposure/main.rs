//! Exposure to versions that turn bad during a roll-out.
//!
//! Requests and late ratings come from a small generator; allowances, evidence, tests and the
//! controller are those that run live.

mod trial;

use bpaf::Bpaf;
use serde_json::json;
use trial::{Outcome, Trial, Turn, Way};

/// Compare ways of rolling out.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// How many seeds.
    #[bpaf(argument("N"), fallback(20))]
    seeds: u64,
    /// How many instances.
    #[bpaf(argument("N"), fallback(6))]
    instances: usize,
    /// Print the JSON line only.
    json: bool,
    /// Cargo passes this to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

const WAYS: [Way; 3] = [Way::Ours, Way::WeightsAlone, Way::ErrorBreaker];
const TURNS: [Turn; 5] = [
    Turn::Slightly,
    Turn::Badly,
    Turn::OneClass,
    Turn::OnlySlow,
    Turn::Failing,
];
const LAGS_S: [u64; 3] = [2, 20, 60];

/// How many good roll-outs are run for each seed, since false stops are rare.
const GOOD_RUNS: u64 = 20;

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn run(way: Way, turn: Option<Turn>, lag_s: u64, args: &Args, seeds: u64) -> Vec<Outcome> {
    (0..seeds)
        .map(|seed| Trial::new(way, turn, lag_s, args.instances, seed).run())
        .collect()
}

fn main() {
    let args = args().run();
    let mut reached = [0.0; 3];
    if !args.json {
        println!(
            "{:<10} {:>5} {:>14} {:>10} {:>10}",
            "turn", "lag s", "way", "reached", "stop s"
        );
    }
    for turn in TURNS {
        for lag_s in LAGS_S {
            for (index, way) in WAYS.into_iter().enumerate() {
                let outcomes = run(way, Some(turn), lag_s, &args, args.seeds);
                let callers = mean(outcomes.iter().map(|outcome| outcome.reached as f64));
                reached[index] += callers;
                if !args.json {
                    let stop = mean(outcomes.iter().map(|outcome| outcome.stop_after_s));
                    println!(
                        "{:<10} {lag_s:>5} {:>14} {callers:>10.1} {stop:>10.1}",
                        format!("{turn:?}"),
                        format!("{way:?}")
                    );
                }
            }
        }
    }
    let mut good = Vec::new();
    let mut times = Vec::new();
    for lag_s in LAGS_S {
        let outcomes = run(Way::Ours, None, lag_s, &args, args.seeds * GOOD_RUNS);
        let base = run(Way::WeightsAlone, None, lag_s, &args, 1)[0].done_after_s;
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
