//! The policy that meets the quality target at the lowest cost.

use crate::plan::{Candidate, Decision, Plan, PolicyPlugin, Query, RoutingPolicy};
use crate::quality::{CONFIDENCE_BINS, CascadePriors, QualityEstimates};

/// The share of requests that go to a version whose rating is least certain.
const EXPLORE_SHARE: f64 = 0.01;

/// The standard error below which an estimate needs no more exploration.
const ENOUGH_CERTAINTY: f64 = 0.03;

/// How much worse the second version does on what the first is not sure of, before any rating.
const HARD_DISCOUNT: f64 = 0.95;

/// Takes the path with the lowest cost minus price times expected quality.
struct CheapestToTarget;

inventory::submit! {
    PolicyPlugin { name: "cheapest-to-target", policy: &CheapestToTarget }
}

impl RoutingPolicy for CheapestToTarget {
    fn plan(
        &self,
        query: &Query<'_>,
        learned: &QualityEstimates,
        price: f64,
        random: &mut fastrand::Rng,
    ) -> Decision {
        if random.f64() < EXPLORE_SHARE
            && let Some(decision) = explore(query, learned)
        {
            return decision;
        }
        let mut best = direct(query, learned, 0);
        for index in 0..query.candidates.len() {
            best = better(best, direct(query, learned, index), price);
            if query.cascade {
                best = cascades(query, learned, index, price, best);
            }
        }
        best
    }
}

fn better(left: Decision, right: Decision, price: f64) -> Decision {
    let value = |decision: &Decision| decision.cost_micros - price * decision.quality;
    if value(&right) < value(&left) {
        right
    } else {
        left
    }
}

fn estimate(query: &Query<'_>, learned: &QualityEstimates, candidate: &Candidate) -> f64 {
    learned
        .quality(query.class, &candidate.version)
        .mean(candidate.prior)
}

fn direct(query: &Query<'_>, learned: &QualityEstimates, index: usize) -> Decision {
    let candidate = &query.candidates[index];
    let quality = estimate(query, learned, candidate);
    Decision {
        plan: Plan::Direct(index),
        quality,
        cost_micros: candidate.cost_micros,
    }
}

/// Compares every cascade that starts with one candidate.
fn cascades(
    query: &Query<'_>,
    learned: &QualityEstimates,
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
            then: estimate(query, learned, strong) * HARD_DISCOUNT,
        };
        let found = learned.cascades(query.class, &cheap.version, &strong.version, priors);
        for (bin, cascade) in found.unwrap_or_default().into_iter().enumerate() {
            let cost_micros = cheap.cost_micros + (1.0 - cascade.kept_share) * strong.cost_micros;
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
                    quality: cascade.quality,
                    cost_micros,
                },
                price,
            );
        }
    }
    best
}

/// Runs directly on the candidate whose estimate is least certain, if that is not certain enough.
fn explore(query: &Query<'_>, learned: &QualityEstimates) -> Option<Decision> {
    let mut widest = ENOUGH_CERTAINTY;
    let mut chosen = None;
    for (index, candidate) in query.candidates.iter().enumerate() {
        let estimate = learned.quality(query.class, &candidate.version);
        let error = estimate.standard_error(candidate.prior);
        if error > widest {
            widest = error;
            chosen = Some(index);
        }
    }
    chosen.map(|index| direct(query, learned, index))
}
