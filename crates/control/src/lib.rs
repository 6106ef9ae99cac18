//! What an instance believes of the world, kept on one thread.
//!
//! Configuration, endpoints, other instances and roll-outs come from the platform's store by watch,
//! and from peers while the store turns this instance away. Requests read the immutable
//! [`serve::View`] that is published from here.
//!
//! # Examples
//!
//! ```
//! use control::Settings;
//!
//! let settings = Settings::new("entry-1", "thamel").gossip_interval_ms(400);
//! assert_eq!(settings.gossip_interval_ms, 400);
//! ```

mod announce;
mod codec;
mod convert;
mod gossip;
mod lead;
mod peers;
mod registry;
mod reports;
mod settings;
mod shift;
mod state;
mod thread;
mod watch;

pub use codec::{DecodeError, Feed, RolloutSpec, RolloutState, StoreCodec};
pub use convert::{
    digest_to_wire, evidence_from_wire, evidence_to_wire, member_from_wire, member_to_wire,
    missing_since, object_from_wire, object_to_wire, same_objects,
};
pub use registry::EndpointRegistry;
pub use settings::Settings;
pub use thread::{Dependencies, Handle, start};
