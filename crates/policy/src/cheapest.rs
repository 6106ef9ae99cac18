//! The policy that meets the quality target at the lowest cost.

use crate::plan::{Candidate, Decision, Plan, PolicyPlugin, Query, RoutingPolicy};
use crate::quality::{CONFIDENCE_BINS, CascadePriors, QualityEstimates};

/// The share of requests that explore the version with the least certain estimate.
const EXPLORE_SHARE: f64 = 0.01;

/// The standard error up to which an estimate needs no more exploration.
const EXPLORED_ERROR: f64 = 0.03;

/// The factor on the second version's quality for requests of which the first was not confident,
/// before any rating. Such requests are harder than the average.
const ESCALATED_PRIOR_FACTOR: f64 = 0.95;

/// Chooses the plan with the lowest cost minus price times expected quality.
struct CheapestToTarget;

inventory::submit! {
    PolicyPlugin { name: "cheapest-to-target", policy: &CheapestToTarget }
}

impl RoutingPolicy for CheapestToTarget {
    fn plan(
        &self,
        query: &Query<'_>,
        estimates: &QualityEstimates,
        price: f64,
        random: &mut fastrand::Rng,
    ) -> Decision {
        if random.f64() < EXPLORE_SHARE
            && let Some(decision) = explore(query, estimates)
        {
            return decision;
        }
        let mut best = direct(query, estimates, 0);
        for index in 0..query.candidates.len() {
            best = better(best, direct(query, estimates, index), price);
            if query.cascade {
                best = best_cascade(query, estimates, index, price, best);
            }
        }
        best
    }
}

fn better(left: Decision, right: Decision, price: f64) -> Decision {
    let score = |decision: &Decision| decision.cost_micros - price * decision.quality;
    if score(&right) < score(&left) {
        right
    } else {
        left
    }
}

fn estimate(query: &Query<'_>, estimates: &QualityEstimates, candidate: &Candidate) -> f64 {
    estimates
        .quality(query.class, &candidate.version)
        .mean(candidate.prior)
}

fn direct(query: &Query<'_>, estimates: &QualityEstimates, index: usize) -> Decision {
    let candidate = &query.candidates[index];
    let quality = estimate(query, estimates, candidate);
    Decision {
        plan: Plan::Direct(index),
        quality,
        cost_micros: candidate.cost_micros,
    }
}

/// Returns the better of a decision and every cascade that starts with one candidate.
fn best_cascade(
    query: &Query<'_>,
    estimates: &QualityEstimates,
    first: usize,
    price: f64,
    mut best: Decision,
) -> Decision {
    let cheap = &query.candidates[first];
    for (then, strong) in query.candidates.iter().enumerate() {
        if then == first || strong.cost_micros <= cheap.cost_micros {
            continue;
        }
        let priors = CascadePriors {
            first: cheap.prior,
            then: estimate(query, estimates, strong) * ESCALATED_PRIOR_FACTOR,
        };
        let forecasts =
            estimates.cascade_forecasts(query.class, &cheap.version, &strong.version, priors);
        for (bin, forecast) in forecasts.unwrap_or_default().into_iter().enumerate() {
            let cost_micros = cheap.cost_micros + (1.0 - forecast.kept_share) * strong.cost_micros;
            let threshold = bin as f64 / CONFIDENCE_BINS as f64;
            let plan = Plan::Cascade {
                first,
                then,
                threshold,
            };
            best = better(
                best,
                Decision {
                    plan,
                    quality: forecast.quality,
                    cost_micros,
                },
                price,
            );
        }
    }
    best
}

/// Returns a direct run on the candidate with the least certain estimate, unless all are explored.
fn explore(query: &Query<'_>, estimates: &QualityEstimates) -> Option<Decision> {
    let mut largest_error = EXPLORED_ERROR;
    let mut chosen = None;
    for (index, candidate) in query.candidates.iter().enumerate() {
        let estimate = estimates.quality(query.class, &candidate.version);
        let error = estimate.standard_error(candidate.prior);
        if error > largest_error {
            largest_error = error;
            chosen = Some(index);
        }
    }
    chosen.map(|index| direct(query, estimates, index))
}
