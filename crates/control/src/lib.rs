//! The control thread of an instance, which maintains the state that requests are routed by.
//!
//! It follows configuration, endpoints, instances and roll-outs through watches on the platform's
//! store, and fetches updates from peers while the store is unavailable to this instance. It also
//! advances roll-outs. Requests read the immutable [`serve::View`] that it publishes.
//!
//! # Examples
//!
//! ```
//! use control::Settings;
//!
//! let settings = Settings::new("entry-1", "thamel").gossip_interval_ms(400);
//! assert_eq!(settings.gossip_interval_ms, 400);
//! ```

mod codec;
mod config_checks;
mod convert;
mod coordinator;
mod draining;
mod encoded;
mod evacuation_feed;
mod evacuations;
mod expiry_grace;
mod fetch;
mod fetch_counters;
mod gossip;
mod load_plan;
mod loads;
mod offer;
mod peer_loads;
mod peer_paces;
mod peers;
mod registration;
mod registry;
mod rejoin;
mod reports;
mod settings;
mod state;
mod store_liveness;
mod store_pings;
mod thread;
mod tracker;
mod transfer;
mod uplink;
mod watch;
mod watch_interrupts;

pub use codec::{DecodeError, Feed, RolloutSpec, RolloutState, StoreCodec};
pub use convert::{
    digest_to_wire, evidence_from_wire, evidence_to_wire, member_from_wire, member_to_wire,
    missing_since, object_from_wire, object_to_wire, same_objects,
};
pub use expiry_grace::ExpiryGrace;
pub use fetch_counters::FetchCounters;
pub use registry::EndpointRegistry;
pub use settings::Settings;
pub use thread::{Dependencies, Handle, start};
