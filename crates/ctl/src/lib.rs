//! The operators' command line: declarations in, status out.
//!
//! # Examples
//!
//! ```
//! assert_eq!(ctl::Code::Conflict as u8, 3);
//! ```

mod apply;
mod ask;
mod change;
mod cli;
mod code;
mod force;
mod output;
mod platform;
mod receipts;
mod resource;

pub use cli::{Args, Command, args, run};
pub use code::{Code, Stop};
