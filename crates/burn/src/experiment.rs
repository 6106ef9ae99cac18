//! Comparison of the arms of experiments.

use std::collections::BTreeMap;
use std::sync::Arc;

use receipt::ArmTotals;
use serde::Serialize;

use crate::statements::WorkspaceStatements;

/// The quantile of the standard normal distribution for a two-sided 95% confidence interval.
const Z_95: f64 = 1.96;

/// An estimated difference of two means with its 95% confidence interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Difference {
    /// Estimated difference.
    pub mean: f64,
    /// Half the width of the confidence interval.
    pub half_width: f64,
}

impl Difference {
    /// Returns whether the confidence interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// The comparison of an arm with the first arm of its experiment, in order of policy name.
/// Differences are this arm minus the first.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ArmRow {
    /// Name of the experiment.
    pub experiment: Arc<str>,
    /// Policy of the arm.
    pub policy: Arc<str>,
    /// Number of billed requests.
    pub requests: u64,
    /// Difference in mean cost per request, in millionths of the currency unit.
    pub cost_micros: Difference,
    /// Difference in mean time to the complete answer, in milliseconds.
    pub total_ms: Difference,
    /// Difference in the share of requests that missed the objective.
    pub bad_share: Difference,
}

/// A sample mean.
#[derive(Debug, Clone, Copy)]
struct Mean {
    mean: f64,
    /// Square of the standard error of the mean.
    error_squared: f64,
}

impl Mean {
    fn new(count: u64, sum: f64, squares: f64) -> Mean {
        let count = count.max(1) as f64;
        let mean = sum / count;
        let variance = (squares / count - mean * mean).max(0.0);
        Mean {
            mean,
            error_squared: variance / count,
        }
    }

    fn difference_from(self, other: Mean) -> Difference {
        let error = (self.error_squared + other.error_squared).sqrt();
        Difference {
            mean: self.mean - other.mean,
            half_width: Z_95 * error,
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

/// Compares the arms of each experiment over all workspaces.
pub fn compare_arms(workspaces: &[WorkspaceStatements]) -> Vec<ArmRow> {
    let mut arms: BTreeMap<Arc<str>, ArmTotals> = BTreeMap::new();
    for statement in workspaces
        .iter()
        .flat_map(|workspace| &workspace.statements)
    {
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
        if first
            .as_ref()
            .is_none_or(|(current, _)| *current != experiment)
        {
            first = Some((experiment, Means::new(totals)));
        }
        let Some((_, reference)) = &first else {
            continue;
        };
        rows.push(ArmRow {
            experiment: experiment.into(),
            policy: policy.into(),
            requests: totals.requests,
            cost_micros: means.cost.difference_from(reference.cost),
            total_ms: means.total.difference_from(reference.total),
            bad_share: means.bad.difference_from(reference.bad),
        });
    }
    rows
}
