//! One entry instance of the request router.
//!
//! The traffic threads of an [`Instance`] read callers' requests, choose a version and an endpoint,
//! relay the answer and write a receipt for billing. The control thread maintains configuration,
//! membership, receipt settlement and roll-outs, and publishes them as immutable views.
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
