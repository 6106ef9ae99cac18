//! Rules that a configuration must satisfy, and the differences between two versions of it.
//!
//! The rules do no I/O. They work on a [`Config`] as the operator wrote it, before values are
//! converted for routing. Names of fields in messages come from a function of the caller.
//!
//! # Examples
//!
//! ```
//! use check::{Config, Limits, findings};
//!
//! let limits = Limits {
//!     max_head_bytes: 2_000,
//!     max_body_bytes: 1_000,
//!     arrival_timeout_ms: 3_000,
//!     idle_timeout_ms: 15_000,
//! };
//! let config = Config { version: 1, limits: Some(limits), ..Config::default() };
//! let found = findings(&config, |_| "field", 50);
//! assert_eq!(found.kept[0].code.name(), "head-above-body");
//! ```

mod changes;
mod config;
mod finding;
mod names;
mod rules;

pub use changes::{Change, changes};
pub use config::{Config, Engine, Homes, Limits, Model, Number, Route, Service, Split, Workspace};
pub use finding::{Class, Code, Finding, Findings};
pub use names::{Field, Names};
pub use rules::{findings, shorten, version_finding};
