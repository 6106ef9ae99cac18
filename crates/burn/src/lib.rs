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

mod cli;
mod experiment;
mod picture;
mod read;
mod report;
mod window;

pub use cli::{Args, args, run};
pub use experiment::{ArmRow, Difference, compare};
pub use picture::draw;
pub use read::{Account, read_accounts};
pub use report::{Report, Row, VersionRow};
pub use window::{WINDOWS, Window, WindowSum};
