//! Structured logs on standard output, and metrics as text.
//!
//! Logging never blocks: lines that do not fit in the buffer are dropped and counted.
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
