//! Reports error-budget burn, latency and cost by workspace and request class.
//!
//! The report also has the requests and cost of each version and compares the arms of experiments.
//! It reads the statements, in which each request counts once. Another report reads the logs of
//! instances and shows where requests wait.
//!
//! # Examples
//!
//! ```
//! let report = burn::Report::build(&[], 0);
//! assert!(report.rows.is_empty());
//! ```

mod chart;
mod cli;
mod experiment;
mod logs;
mod report;
mod statements;
mod window;

pub use chart::render_svg;
pub use cli::{Args, BudgetArgs, LogArgs, args, run};
pub use experiment::{ArmRow, Difference, compare_arms};
pub use logs::{
    Ended, EndpointRow, EventKind, FirstEvent, IntervalRow, LogEvent, LogReport, RouteRow, SizeRow,
    TenthRow, render_log_svg,
};
pub use report::{ClassRow, Report, VersionRow};
pub use statements::{WorkspaceStatements, read_statements};
pub use window::{WINDOWS, Window, WindowTotals};
