//! The report on service-level burn: error budgets, burn rates, latency, cost and exposure.
//!
//! It reads the settled statements, so that each request counts once.
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
mod report;
mod statements;
mod window;

pub use chart::render_svg;
pub use cli::{Args, args, run};
pub use experiment::{ArmRow, Difference, compare_arms};
pub use report::{ClassRow, Report, VersionRow};
pub use statements::{WorkspaceStatements, read_statements};
pub use window::{WINDOWS, Window, WindowTotals};
