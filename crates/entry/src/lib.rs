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

mod answer;
mod api;
mod cli;
mod control;
mod instance;
mod logs;
mod metrics;
mod peers;
mod settings;
mod state;

pub use cli::{Args, args, run};
pub use instance::Instance;
pub use metrics::METRICS;
pub use settings::{Layer, SettingDoc, Settings, SettingsError};
