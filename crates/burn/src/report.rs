//! The report and its text form.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use receipt::{SloBucket, Totals};
use serde::Serialize;

use crate::experiment::{ArmRow, Difference, compare_arms};
use crate::statements::WorkspaceStatements;
use crate::window::{WINDOWS, WindowTotals, quantile_ms};

/// Millionths of the currency unit per unit.
const MICROS_PER_UNIT: f64 = 1e6;

/// Error-budget burn, latency and cost of one workspace and request class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassRow {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Request class.
    pub class: Arc<str>,
    /// Share of requests that must meet the objective, between 0 and 1.
    pub objective_share: f64,
    /// Share of the error budget of the longest window that is spent; above 1 if overspent.
    pub budget_spent: f64,
    /// Burn rates by window, in the order of [`Report::windows`]; 1 spends exactly the budget.
    pub burn_rates: Vec<f64>,
    /// Number of requests in the longest window.
    pub requests: u64,
    /// 95th percentile of the time to the first token, as the upper bound of its histogram bin, in
    /// milliseconds.
    pub first_token_p95_ms: u64,
    /// 95th percentile of the time to the complete answer, as the upper bound of its histogram bin,
    /// in milliseconds.
    pub total_p95_ms: u64,
    /// Mean cost of 1,000 requests, in the currency unit.
    pub cost_per_1000: f64,
    /// Share of requests in which an unproven version took part, between 0 and 1.
    pub unproven_share: f64,
}

/// Requests and cost of one version in a workspace since its first receipt.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VersionRow {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Name of the version or service.
    pub version: Arc<str>,
    /// Number of billed requests.
    pub requests: u64,
    /// Total cost, in the currency unit.
    pub cost: f64,
}

/// The report on error-budget burn, latency and cost.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Names of the time windows, shortest first.
    pub windows: Vec<&'static str>,
    /// Burn, latency and cost by workspace and request class.
    pub rows: Vec<ClassRow>,
    /// Requests and cost by workspace and version.
    pub versions: Vec<VersionRow>,
    /// Comparison of the arms of experiments.
    pub arms: Vec<ArmRow>,
}

impl Report {
    /// Builds the report for the time `now_ms`, in milliseconds since the Unix epoch.
    pub fn build(workspaces: &[WorkspaceStatements], now_ms: u64) -> Report {
        let windows = WINDOWS.iter().map(|window| window.name).collect();
        let mut report = Report {
            windows,
            rows: Vec::new(),
            versions: Vec::new(),
            arms: compare_arms(workspaces),
        };
        for workspace in workspaces {
            report.add_rows(workspace, now_ms);
            report.add_versions(workspace);
        }
        report
    }

    fn add_rows(&mut self, workspace: &WorkspaceStatements, now_ms: u64) {
        let buckets = || {
            workspace
                .statements
                .iter()
                .flat_map(|statement| &statement.buckets)
        };
        let classes: BTreeSet<&Arc<str>> = buckets().map(|bucket| &bucket.class).collect();
        let share = workspace.objective.share;
        for class in classes {
            let of_class = || buckets().filter(|bucket: &&SloBucket| bucket.class == *class);
            let totals: Vec<WindowTotals> = WINDOWS
                .iter()
                .map(|window| WindowTotals::over(of_class(), *window, now_ms))
                .collect();
            let Some(longest) = totals.last().filter(|totals| totals.requests > 0) else {
                continue;
            };
            let requests = longest.requests as f64;
            self.rows.push(ClassRow {
                workspace: workspace.name.clone(),
                class: class.clone(),
                objective_share: share,
                budget_spent: longest.burn_rate(share),
                burn_rates: totals
                    .iter()
                    .map(|totals| totals.burn_rate(share))
                    .collect(),
                requests: longest.requests,
                first_token_p95_ms: quantile_ms(&longest.first_token_bins, 0.95),
                total_p95_ms: quantile_ms(&longest.total_bins, 0.95),
                cost_per_1000: longest.cost_micros as f64 / requests * 1000.0 / MICROS_PER_UNIT,
                unproven_share: longest.unproven as f64 / requests,
            });
        }
    }

    fn add_versions(&mut self, workspace: &WorkspaceStatements) {
        let versions: BTreeSet<&Arc<str>> = workspace
            .statements
            .iter()
            .flat_map(|statement| statement.by_version.keys())
            .collect();
        for version in versions {
            let mut sum = Totals::default();
            for statement in &workspace.statements {
                let totals = statement
                    .by_version
                    .get(version)
                    .copied()
                    .unwrap_or_default();
                sum.requests += totals.requests;
                sum.cost_micros += totals.cost_micros;
            }
            self.versions.push(VersionRow {
                workspace: workspace.name.clone(),
                version: version.clone(),
                requests: sum.requests,
                cost: sum.cost_micros as f64 / MICROS_PER_UNIT,
            });
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<18} {:<10} {:>9} {:>6} {:>8}",
            "workspace", "class", "requests", "goal", "spent"
        )?;
        for window in &self.windows {
            write!(f, " {:>7}", format!("x{window}"))?;
        }
        writeln!(
            f,
            " {:>9} {:>9} {:>10} {:>9}",
            "first p95", "total p95", "cost/1000", "unproven"
        )?;
        for row in &self.rows {
            write!(
                f,
                "{:<18} {:<10} {:>9} {:>5.1}% {:>7.1}%",
                row.workspace,
                row.class,
                row.requests,
                row.objective_share * 100.0,
                row.budget_spent * 100.0
            )?;
            for rate in &row.burn_rates {
                write!(f, " {rate:>7.2}")?;
            }
            let (first, total) = (
                format!("<{} ms", row.first_token_p95_ms),
                format!("<{} ms", row.total_p95_ms),
            );
            writeln!(
                f,
                " {first:>9} {total:>9} {:>10.4} {:>8.1}%",
                row.cost_per_1000,
                row.unproven_share * 100.0
            )?;
        }
        writeln!(
            f,
            "\n{:<18} {:<14} {:>9} {:>12}",
            "workspace", "version", "requests", "cost"
        )?;
        for row in &self.versions {
            writeln!(
                f,
                "{:<18} {:<14} {:>9} {:>12.6}",
                row.workspace, row.version, row.requests, row.cost
            )?;
        }
        if self.arms.is_empty() {
            return Ok(());
        }
        let headings = [
            "experiment",
            "policy",
            "requests",
            "cost micros",
            "total ms",
            "bad share",
        ];
        writeln!(
            f,
            "\n{:<18} {:<14} {:>9} {:>22} {:>22} {:>20}",
            headings[0], headings[1], headings[2], headings[3], headings[4], headings[5]
        )?;
        for row in &self.arms {
            let format_difference = |difference: Difference, digits: usize| {
                let marker = if difference.is_significant() {
                    "*"
                } else {
                    " "
                };
                format!(
                    "{:+.digits$} ±{:.digits$}{marker}",
                    difference.mean, difference.half_width
                )
            };
            let cost = format_difference(row.cost_micros, 2);
            let total = format_difference(row.total_ms, 1);
            let bad = format_difference(row.bad_share, 4);
            writeln!(
                f,
                "{:<18} {:<14} {:>9} {cost:>22} {total:>22} {bad:>20}",
                row.experiment, row.policy, row.requests
            )?;
        }
        writeln!(
            f,
            "differences from the first arm, with 95% intervals; * leaves zero out"
        )
    }
}
