//! The comparison of an experiment's arms.

use std::collections::BTreeMap;
use std::sync::Arc;

use receipt::ArmTotals;
use serde::Serialize;

use crate::statements::WorkspaceStatements;

/// The standard normal quantile of a 95% interval.
const Z95: f64 = 1.96;

/// A difference with its 95% interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Difference {
    /// The estimate.
    pub mean: f64,
    /// Half the width of the interval.
    pub half_width: f64,
}

impl Difference {
    /// Returns whether the interval leaves zero out.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// One arm against the first arm of its experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ArmRow {
    /// The experiment.
    pub experiment: Arc<str>,
    /// The policy of the arm.
    pub policy: Arc<str>,
    /// Billed requests.
    pub requests: u64,
    /// The mean cost of a request, in millionths of the currency unit, less that of the first arm.
    pub cost_micros: Difference,
    /// The mean time to the whole answer, in milliseconds, less that of the first arm.
    pub total_ms: Difference,
    /// The share of requests that missed the objective, less that of the first arm.
    pub bad_share: Difference,
}

/// A mean with its variance.
#[derive(Debug, Clone, Copy)]
struct Mean {
    mean: f64,
    error_square: f64,
}

impl Mean {
    fn new(count: u64, sum: f64, squares: f64) -> Mean {
        let count = count.max(1) as f64;
        let mean = sum / count;
        let variance = (squares / count - mean * mean).max(0.0);
        Mean {
            mean,
            error_square: variance / count,
        }
    }

    fn less(self, other: Mean) -> Difference {
        let error = (self.error_square + other.error_square).sqrt();
        Difference {
            mean: self.mean - other.mean,
            half_width: Z95 * error,
        }
    }
}

struct Means {
    cost: Mean,
    total: Mean,
    bad: Mean,
}

impl Means {
    fn new(arm: &ArmTotals) -> Means {
        Means {
            cost: Mean::new(arm.requests, arm.cost_micros as f64, arm.cost_squares),
            total: Mean::new(arm.requests, arm.total_ms as f64, arm.total_squares),
            bad: Mean::new(arm.requests, arm.bad as f64, arm.bad as f64),
        }
    }
}

/// Compares the arms of all experiments.
pub fn compare_arms(accounts: &[WorkspaceStatements]) -> Vec<ArmRow> {
    let mut arms: BTreeMap<Arc<str>, ArmTotals> = BTreeMap::new();
    for statement in accounts.iter().flat_map(|account| &account.statements) {
        for (name, totals) in &statement.by_arm {
            arms.entry(name.clone()).or_default().merge(totals);
        }
    }
    let mut rows: Vec<ArmRow> = Vec::new();
    let mut first: Option<(&str, Means)> = None;
    for (name, totals) in &arms {
        let Some((experiment, policy)) = name.split_once('/') else {
            continue;
        };
        let means = Means::new(totals);
        if first.as_ref().is_none_or(|(held, _)| *held != experiment) {
            first = Some((experiment, Means::new(totals)));
        }
        let Some((_, base)) = &first else {
            continue;
        };
        rows.push(ArmRow {
            experiment: experiment.into(),
            policy: policy.into(),
            requests: totals.requests,
            cost_micros: means.cost.less(base.cost),
            total_ms: means.total.less(base.total),
            bad_share: means.bad.less(base.bad),
        });
    }
    rows
}
