//! Measures cost at the quality target against baseline policies and a clairvoyant bound.
//!
//! A small generator makes requests, answers and delayed ratings; the policies are those of the
//! crate. In the second phase the cheap version becomes worse at one class, in the third the mix of
//! classes shifts as well.

mod bound;
mod trial;
mod world;

use bpaf::Bpaf;
use serde_json::json;
use trial::{Outcome, Trial};
use world::WORKSPACES;

/// Compare routing policies.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// The number of seeds.
    #[bpaf(argument("N"), fallback(10))]
    seeds: u64,
    /// Print the JSON line only.
    json: bool,
    /// Ignored; cargo passes it to benches.
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

const OURS: &str = "cheapest-to-target";
const POLICIES: [&str; 5] = [
    OURS,
    "always-cheapest",
    "always-best",
    "random-mix",
    "fixed-cascade",
];

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn main() {
    let args = args().run();
    let mut rows = Vec::new();
    for policy in POLICIES {
        let mut outcomes = Vec::new();
        for seed in 0..args.seeds {
            for workspace in &WORKSPACES {
                outcomes.push(Trial::new(workspace, seed).run(policy));
            }
        }
        rows.push((policy, outcomes));
    }
    if !args.json {
        print_table(&rows);
    }
    println!("{}", figures(&rows, args.seeds));
}

fn met_share(outcomes: &[Outcome]) -> f64 {
    let phases = outcomes.iter().flat_map(|outcome| &outcome.phases);
    mean(phases.map(|phase| {
        if phase.quality >= phase.target {
            1.0
        } else {
            0.0
        }
    }))
}

fn cost(outcomes: &[Outcome]) -> f64 {
    mean(outcomes.iter().map(Outcome::cost))
}

fn figures(rows: &[(&str, Vec<Outcome>)], seeds: u64) -> serde_json::Value {
    let ours = &rows[0].1;
    let meets_target = |outcomes: &&Vec<Outcome>| met_share(outcomes) >= 1.0;
    let best = rows[1..]
        .iter()
        .map(|(_, outcomes)| outcomes)
        .filter(meets_target)
        .map(|outcomes| cost(outcomes));
    let best = best.min_by(f64::total_cmp);
    let margins = ours
        .iter()
        .flat_map(|outcome| &outcome.phases)
        .map(|phase| phase.quality - phase.target);
    json!({
        "seeds": seeds,
        "cost_over_clairvoyant": mean(ours.iter().map(Outcome::cost_over_bound)),
        "target_met_share": met_share(ours),
        "worst_shortfall": -margins.fold(f64::INFINITY, f64::min),
        "cost_over_best_baseline": best.map(|best| cost(ours) / best),
        "recovery_requests": mean(ours.iter().map(|outcome| outcome.recovery_requests as f64)),
    })
}

fn print_table(rows: &[(&str, Vec<Outcome>)]) {
    println!(
        "{:<20} {:>10} {:>12} {:>12} {:>12}",
        "policy", "cost", "over bound", "target met", "latency ms"
    );
    for (policy, outcomes) in rows {
        println!(
            "{policy:<20} {:>10.2} {:>12.3} {:>12.3} {:>12.1}",
            cost(outcomes),
            mean(outcomes.iter().map(Outcome::cost_over_bound)),
            met_share(outcomes),
            mean(outcomes.iter().map(|outcome| outcome.latency_ms)),
        );
    }
    println!(
        "\n{:<10} {:<10} {:>9} {:>9} {:>9} {:>9}",
        "workspace", "phase", "target", "quality", "cost", "bound"
    );
    for outcome in &rows[0].1[..WORKSPACES.len()] {
        for phase in &outcome.phases {
            println!(
                "{:<10} {:<10} {:>9.3} {:>9.4} {:>9.2} {:>9.2}",
                outcome.workspace, phase.name, phase.target, phase.quality, phase.cost, phase.bound
            );
        }
    }
}
