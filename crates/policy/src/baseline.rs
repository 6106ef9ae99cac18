//! Simple policies, for comparison and for operators who want them.

use crate::plan::{Decision, Plan, PolicyPlugin, Query, RoutingPolicy};
use crate::quality::QualityEstimates;

/// The confidence at which the fixed cascade keeps the first answer.
const FIXED_THRESHOLD: f64 = 0.7;

struct AlwaysCheapest;
struct AlwaysBest;
struct RandomMix;
struct FixedCascade;

inventory::submit! { PolicyPlugin { name: "always-cheapest", policy: &AlwaysCheapest } }
inventory::submit! { PolicyPlugin { name: "always-best", policy: &AlwaysBest } }
inventory::submit! { PolicyPlugin { name: "random-mix", policy: &RandomMix } }
inventory::submit! { PolicyPlugin { name: "fixed-cascade", policy: &FixedCascade } }

fn cheapest(query: &Query<'_>) -> usize {
    let cost = |index: &usize| query.candidates[*index].cost_micros;
    let cheapest =
        (0..query.candidates.len()).min_by(|left, right| cost(left).total_cmp(&cost(right)));
    cheapest.unwrap_or(0)
}

fn best(query: &Query<'_>) -> usize {
    let prior = |index: &usize| query.candidates[*index].prior;
    let best =
        (0..query.candidates.len()).max_by(|left, right| prior(left).total_cmp(&prior(right)));
    best.unwrap_or(0)
}

fn direct(query: &Query<'_>, index: usize) -> Decision {
    let candidate = &query.candidates[index];
    Decision {
        plan: Plan::Direct(index),
        quality: candidate.prior,
        cost_micros: candidate.cost_micros,
    }
}

impl RoutingPolicy for AlwaysCheapest {
    fn plan(
        &self,
        query: &Query<'_>,
        _: &QualityEstimates,
        _: f64,
        _: &mut fastrand::Rng,
    ) -> Decision {
        direct(query, cheapest(query))
    }
}

impl RoutingPolicy for AlwaysBest {
    fn plan(
        &self,
        query: &Query<'_>,
        _: &QualityEstimates,
        _: f64,
        _: &mut fastrand::Rng,
    ) -> Decision {
        direct(query, best(query))
    }
}

impl RoutingPolicy for RandomMix {
    fn plan(
        &self,
        query: &Query<'_>,
        _: &QualityEstimates,
        _: f64,
        random: &mut fastrand::Rng,
    ) -> Decision {
        direct(query, random.usize(..query.candidates.len()))
    }
}

impl RoutingPolicy for FixedCascade {
    fn plan(
        &self,
        query: &Query<'_>,
        _: &QualityEstimates,
        _: f64,
        _: &mut fastrand::Rng,
    ) -> Decision {
        let (first, then) = (cheapest(query), best(query));
        if first == then || !query.cascade {
            return direct(query, then);
        }
        let plan = Plan::Cascade {
            first,
            then,
            threshold: FIXED_THRESHOLD,
        };
        let expected = direct(query, then);
        Decision { plan, ..expected }
    }
}
