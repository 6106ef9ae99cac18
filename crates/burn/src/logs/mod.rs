//! Analysis of the structured logs of instances: where requests wait, and what decided.

mod chart;
mod distribution;
mod line;
mod report;
mod table;

pub use chart::render_log_svg;
pub use line::{Ended, EventKind, FirstEvent, LogEvent};
pub use report::{EndpointRow, IntervalRow, LogReport, RouteRow, SizeRow, TenthRow};
