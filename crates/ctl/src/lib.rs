//! The operators' command line, `rosemaryctl`.
//!
//! Validates declarations, compares them with the platform's object API and writes the differences
//! with conditional updates. Shows resources, instances, receipts and statements, and controls
//! roll-outs. Every command ends with an [`ExitStatus`].
//!
//! # Examples
//!
//! ```
//! assert_eq!(ctl::ExitStatus::Conflict as u8, 3);
//! ```

mod apply;
mod change;
mod cli;
mod client;
mod error;
mod output;
mod platform;
mod propagation;
mod receipts;
mod resource;

pub use cli::{Args, Command, args, run};
pub use error::{CommandError, ExitStatus};
