//! The policy that meets the quality target at the lowest cost.

use crate::learned::{CONFIDENCE_BINS, Learned};
use crate::plan::{Candidate, Decision, Plan, PolicyPlugin, Query, RoutingPolicy};

/// The share of requests that go to a version whose rating is least certain.
const EXPLORE_SHARE: f64 = 0.01;

/// How much worse the second version does on what the first is not sure of, before any rating.
const HARD_DISCOUNT: f64 = 0.95;

/// How many standard errors an uncertain version is given as a bonus.
const OPTIMISM: f64 = 0.5;

/// Takes the path with the lowest cost minus price times expected quality.
struct CheapestToTarget;

inventory::submit! {
    PolicyPlugin { name: "cheapest-to-target", policy: &CheapestToTarget }
}

impl RoutingPolicy for CheapestToTarget {
    fn plan(
        &self,
        query: &Query<'_>,
        learned: &Learned,
        price: f64,
        random: &mut fastrand::Rng,
    ) -> Decision {
        if random.f64() < EXPLORE_SHARE {
            return explore(query, learned);
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

fn estimate(query: &Query<'_>, learned: &Learned, candidate: &Candidate) -> f64 {
    let estimate = learned.quality(query.class, &candidate.version, candidate.prior);
    (estimate.mean() + OPTIMISM * estimate.error()).min(1.0)
}

fn direct(query: &Query<'_>, learned: &Learned, index: usize) -> Decision {
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
    learned: &Learned,
    first: usize,
    price: f64,
    mut best: Decision,
) -> Decision {
    let cheap = &query.candidates[first];
    let Some(kept) = learned.kept(query.class, &cheap.version) else {
        return best;
    };
    for (then, strong) in query.candidates.iter().enumerate() {
        if then == first || strong.cost_micros <= cheap.cost_micros {
            continue;
        }
        let escalated = learned.escalated_quality(query.class, &cheap.version, &strong.version);
        let hard = escalated.map_or(estimate(query, learned, strong) * HARD_DISCOUNT, |found| {
            found.mean()
        });
        for (bin, kept) in kept.iter().enumerate() {
            let quality = kept.share * kept.quality + (1.0 - kept.share) * hard;
            let cost_micros = cheap.cost_micros + (1.0 - kept.share) * strong.cost_micros;
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
                    quality,
                    cost_micros,
                },
                price,
            );
        }
    }
    best
}

/// Runs directly on the candidate whose estimate is least certain.
fn explore(query: &Query<'_>, learned: &Learned) -> Decision {
    let error = |index: &usize| {
        let candidate = &query.candidates[*index];
        learned
            .quality(query.class, &candidate.version, candidate.prior)
            .error()
    };
    let least =
        (0..query.candidates.len()).max_by(|left, right| error(left).total_cmp(&error(right)));
    direct(query, learned, least.unwrap_or(0))
}
