//! Latency of urgent requests, goodput and refusals under overload.
//!
//! Arrivals, engines and the retries of refused callers are simulated; admission, endpoint
//! selection, outlier ejection, retry budgets and retry-after delays are the production code.

mod queue;
mod trial;

use bpaf::Bpaf;
use serde_json::json;
use trial::{Outcome, Strategy, Trial};

/// Compare strategies of endpoint selection under load.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Number of seeds.
    #[bpaf(argument("N"), fallback(5))]
    seeds: u64,
    /// Print the JSON line only.
    json: bool,
    /// Cargo passes this to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 3.0];
const STRATEGIES: [Strategy; 4] = [
    Strategy::Ours,
    Strategy::Random,
    Strategy::RoundRobin,
    Strategy::LeastReported,
];

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len().max(1) as f64
}

fn main() {
    let args = args().run();
    let mut ours = Vec::new();
    if !args.json {
        println!(
            "{:<14} {:>5} {:>10} {:>10} {:>8} {:>8} {:>9} {:>10}",
            "strategy",
            "load",
            "urgent p99",
            "normal p99",
            "goodput",
            "refused",
            "attempts",
            "retry peak"
        );
    }
    for strategy in STRATEGIES {
        for load in LOADS {
            let outcomes: Vec<Outcome> = (0..args.seeds)
                .map(|seed| Trial::new(strategy, load, seed).run())
                .collect();
            if !args.json {
                println!(
                    "{:<14} {load:>5.1} {:>10.1} {:>10.1} {:>8.3} {:>8.3} {:>9.3} {:>10.3}",
                    format!("{strategy:?}"),
                    mean(&outcomes, |outcome| outcome.urgent_p99_ms),
                    mean(&outcomes, |outcome| outcome.normal_p99_ms),
                    mean(&outcomes, |outcome| outcome.goodput_share),
                    mean(&outcomes, |outcome| outcome.refused_share),
                    mean(&outcomes, |outcome| outcome.retry_amplification),
                    mean(&outcomes, |outcome| outcome.peak_caller_retry_ratio),
                );
            }
            if strategy == Strategy::Ours {
                ours.push(outcomes);
            }
        }
    }
    let urgent = |index: usize| mean(&ours[index], |outcome| outcome.urgent_p99_ms);
    let amplification = ours
        .iter()
        .map(|outcomes| mean(outcomes, |outcome| outcome.retry_amplification));
    let refusal = ours
        .iter()
        .map(|outcomes| mean(outcomes, |outcome| outcome.refusal_p99_ms));
    let figures = json!({
        "seeds": args.seeds,
        "urgent_p99_ratio": urgent(2) / urgent(0),
        "goodput_share": mean(&ours[3], |outcome| outcome.goodput_share),
        "retry_amplification": amplification.fold(0.0, f64::max),
        "refusal_p99_ms": refusal.fold(0.0, f64::max),
    });
    println!("{figures}");
}
