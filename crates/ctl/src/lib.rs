//! The operators' command line: declarations in, status out.
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
