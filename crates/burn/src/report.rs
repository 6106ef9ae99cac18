//! The report.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use receipt::{SloBucket, Totals};
use serde::Serialize;

use crate::experiment::{ArmRow, Difference, compare_arms};
use crate::statements::WorkspaceStatements;
use crate::window::{WINDOWS, WindowTotals, quantile_ms};

/// Millionths of the currency unit in one unit.
const MICROS: f64 = 1e6;

/// The burn of one workspace and class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassRow {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The request class.
    pub class: Arc<str>,
    /// The share of requests that must keep the objective.
    pub objective_share: f64,
    /// The share of the longest window's error budget that is spent.
    pub budget_spent: f64,
    /// The burn rates, one for each window.
    pub burn_rates: Vec<f64>,
    /// Requests in the longest window.
    pub requests: u64,
    /// The 95th percentile of time to the first token, as the upper bound of its bin, in milliseconds.
    pub first_token_p95_ms: u64,
    /// The 95th percentile of time to the whole answer, as the upper bound of its bin, in milliseconds.
    pub total_p95_ms: u64,
    /// The cost of 1,000 requests.
    pub cost_per_1000: f64,
    /// The share of requests that an unproven version took part in.
    pub unproven_share: f64,
}

/// What one version served for a workspace since its first receipt.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VersionRow {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The version or service.
    pub version: Arc<str>,
    /// Billed requests.
    pub requests: u64,
    /// The cost.
    pub cost: f64,
}

/// The report on service-level burn.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The names of the windows.
    pub windows: Vec<&'static str>,
    /// Burn by workspace and class.
    pub rows: Vec<ClassRow>,
    /// Exposure by workspace and version.
    pub versions: Vec<VersionRow>,
    /// The arms of experiments.
    pub arms: Vec<ArmRow>,
}

impl Report {
    /// Builds the report as of a moment, in milliseconds since the Unix epoch.
    pub fn build(accounts: &[WorkspaceStatements], now_ms: u64) -> Report {
        let windows = WINDOWS.iter().map(|window| window.name).collect();
        let mut report = Report {
            windows,
            rows: Vec::new(),
            versions: Vec::new(),
            arms: compare_arms(accounts),
        };
        for account in accounts {
            report.add_rows(account, now_ms);
            report.add_versions(account);
        }
        report
    }

    fn add_rows(&mut self, account: &WorkspaceStatements, now_ms: u64) {
        let buckets = || {
            account
                .statements
                .iter()
                .flat_map(|statement| &statement.buckets)
        };
        let classes: BTreeSet<&Arc<str>> = buckets().map(|bucket| &bucket.class).collect();
        let share = account.objective.share;
        for class in classes {
            let of_class = || buckets().filter(|bucket: &&SloBucket| bucket.class == *class);
            let sums: Vec<WindowTotals> = WINDOWS
                .iter()
                .map(|window| WindowTotals::over(of_class(), *window, now_ms))
                .collect();
            let Some(longest) = sums.last().filter(|sum| sum.requests > 0) else {
                continue;
            };
            let requests = longest.requests as f64;
            self.rows.push(ClassRow {
                workspace: account.workspace.clone(),
                class: class.clone(),
                objective_share: share,
                budget_spent: longest.burn_rate(share),
                burn_rates: sums.iter().map(|sum| sum.burn_rate(share)).collect(),
                requests: longest.requests,
                first_token_p95_ms: quantile_ms(&longest.first_token_bins, 0.95),
                total_p95_ms: quantile_ms(&longest.total_bins, 0.95),
                cost_per_1000: longest.cost_micros as f64 / requests * 1000.0 / MICROS,
                unproven_share: longest.unproven as f64 / requests,
            });
        }
    }

    fn add_versions(&mut self, account: &WorkspaceStatements) {
        let versions: BTreeSet<&Arc<str>> = account
            .statements
            .iter()
            .flat_map(|statement| statement.by_version.keys())
            .collect();
        for version in versions {
            let mut sum = Totals::default();
            for statement in &account.statements {
                let totals = statement
                    .by_version
                    .get(version)
                    .copied()
                    .unwrap_or_default();
                sum.requests += totals.requests;
                sum.cost_micros += totals.cost_micros;
            }
            self.versions.push(VersionRow {
                workspace: account.workspace.clone(),
                version: version.clone(),
                requests: sum.requests,
                cost: sum.cost_micros as f64 / MICROS,
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
        let head = [
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
            head[0], head[1], head[2], head[3], head[4], head[5]
        )?;
        for row in &self.arms {
            let show = |difference: Difference, digits: usize| {
                let clear = if difference.is_significant() {
                    "*"
                } else {
                    " "
                };
                format!(
                    "{:+.digits$} ±{:.digits$}{clear}",
                    difference.mean, difference.half_width
                )
            };
            let (cost, total) = (show(row.cost_micros, 2), show(row.total_ms, 1));
            let bad = show(row.bad_share, 4);
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
