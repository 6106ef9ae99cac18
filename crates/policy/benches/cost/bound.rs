//! The cost that a planner who knows the world needs to meet a target.

use policy::CONFIDENCE_BINS;

use crate::world::{CLASSES, Phase, VERSIONS, Workspace, draw_answers, mix};

/// Draws for each estimate.
const DRAWS: usize = 40_000;

/// The steps of the search for the best price.
const STEPS: usize = 60;

/// The highest price that is tried.
const MAX_PRICE: f64 = 20_000.0;

/// A path with its true quality and cost.
#[derive(Debug, Clone, Copy)]
struct Option {
    quality: f64,
    cost: f64,
}

/// Returns every path of a class: each version alone and each cascade of two.
fn options(class: usize, phase: Phase) -> Vec<Option> {
    let mut random = fastrand::Rng::with_seed(7 + class as u64);
    let answers: Vec<_> = (0..DRAWS)
        .map(|_| draw_answers(class, phase, &mut random))
        .collect();
    let mut options = Vec::new();
    for (first, cheap) in VERSIONS.iter().enumerate() {
        let good = answers.iter().filter(|answer| answer.good[first]).count();
        options.push(Option {
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
                options.push(Option {
                    quality: good as f64 / DRAWS as f64,
                    cost: cost / DRAWS as f64,
                });
            }
        }
    }
    options
}

/// Returns the least cost of any mix of paths that meets the target: the dual of the linear
/// programme, at its best price.
pub fn clairvoyant_cost(workspace: &Workspace, phase: Phase) -> f64 {
    let mix = mix(workspace, phase);
    let options: Vec<Vec<Option>> = (0..CLASSES.len())
        .map(|class| options(class, phase))
        .collect();
    let dual = |price: f64| {
        let mut value = price * workspace.target;
        for (share, options) in mix.iter().zip(&options) {
            let best = options
                .iter()
                .map(|option| option.cost - price * option.quality)
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
