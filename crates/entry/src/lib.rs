//! One entry instance of the router.
//!
//! A request comes in at [`Instance`]'s listener, is read into a context, planned, sent to an
//! endpoint, billed and answered by the traffic threads. The control thread keeps the
//! configuration, the membership, the receipts and the roll-outs, and publishes immutable views.
//!
//! # Examples
//!
//! ```
//! let layer = entry::Layer::parse("entry.toml", "zone = \"thamel\"").unwrap();
//! let settings = entry::Settings::default().overlay(layer);
//! assert_eq!(settings.zone, "thamel");
//! ```

mod billing;
mod body;
mod calls;
mod chat;
mod claim;
mod cli;
mod context;
mod control;
mod convert;
mod execute;
mod exposure;
mod forward;
mod holdings;
mod info;
mod instance;
mod keyed;
mod logs;
mod metrics;
mod peers;
mod plan;
mod pump;
mod quota;
mod record;
mod routes;
mod service;
mod sessions;
mod settings;
mod shared;
mod stream;
mod tape;
mod teach;
mod view;
mod whole;

pub use cli::{Args, args, run};
pub use instance::Instance;
pub use metrics::METRICS;
pub use settings::{Layer, Reference, Settings, SettingsError};
