//! Structured logs on standard output, and metrics as text.
//!
//! Logs never block: lines that find no room are left out and counted.
//!
//! # Examples
//!
//! ```
//! use observe::Metrics;
//!
//! let metrics = Metrics::default();
//! assert!(metrics.text().contains("rosemary"));
//! ```

mod logs;
mod metrics;

pub use logs::{LogGuard, start_logging};
pub use metrics::{Metrics, MetricsHandler};
