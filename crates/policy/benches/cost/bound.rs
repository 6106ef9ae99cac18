//! The cost of meeting a target with full knowledge of all qualities.

use policy::CONFIDENCE_BINS;

use crate::world::{CLASSES, Phase, VERSIONS, Workspace, draw_answers, mix};

/// Requests drawn for each class.
const DRAWS: usize = 40_000;

/// The steps of the ternary search for the best price.
const STEPS: usize = 60;

/// The upper end of the search for the price.
const MAX_PRICE: f64 = 20_000.0;

/// The true quality and cost of a plan.
#[derive(Debug, Clone, Copy)]
struct PlanFigures {
    quality: f64,
    cost: f64,
}

/// Returns every plan for a class: each version alone and each cascade of two.
fn plans(class: usize, phase: Phase) -> Vec<PlanFigures> {
    let mut random = fastrand::Rng::with_seed(7 + class as u64);
    let answers: Vec<_> = (0..DRAWS)
        .map(|_| draw_answers(class, phase, &mut random))
        .collect();
    let mut plans = Vec::new();
    for (first, cheap) in VERSIONS.iter().enumerate() {
        let good = answers.iter().filter(|answer| answer.good[first]).count();
        plans.push(PlanFigures {
            quality: good as f64 / DRAWS as f64,
            cost: cheap.cost,
        });
        for (then, strong) in VERSIONS.iter().enumerate().skip(first + 1) {
            for bin in 1..CONFIDENCE_BINS {
                let threshold = bin as f64 / CONFIDENCE_BINS as f64;
                let (mut good, mut cost) = (0, 0.0);
                for answer in &answers {
                    let kept = answer.confidence[first] >= threshold;
                    good += usize::from(if kept {
                        answer.good[first]
                    } else {
                        answer.good[then]
                    });
                    cost += cheap.cost + if kept { 0.0 } else { strong.cost };
                }
                plans.push(PlanFigures {
                    quality: good as f64 / DRAWS as f64,
                    cost: cost / DRAWS as f64,
                });
            }
        }
    }
    plans
}

/// Returns the least cost of any mix of plans that meets the target.
///
/// This is the dual of the linear programme at its best price.
pub fn clairvoyant_cost(workspace: &Workspace, phase: Phase) -> f64 {
    let mix = mix(workspace, phase);
    let plans: Vec<Vec<PlanFigures>> = (0..CLASSES.len())
        .map(|class| plans(class, phase))
        .collect();
    let dual = |price: f64| {
        let mut value = price * workspace.target;
        for (share, plans) in mix.iter().zip(&plans) {
            let best = plans
                .iter()
                .map(|plan| plan.cost - price * plan.quality)
                .min_by(f64::total_cmp);
            value += share * best.unwrap_or(0.0);
        }
        value
    };
    let (mut low, mut high) = (0.0, MAX_PRICE);
    for _ in 0..STEPS {
        let (left, right) = (low + (high - low) / 3.0, high - (high - low) / 3.0);
        if dual(left) < dual(right) {
            low = left;
        } else {
            high = right;
        }
    }
    dual((low + high) / 2.0)
}
