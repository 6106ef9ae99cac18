//! Configuration resources that operators declare in TOML.
//!
//! The crate parses and validates declarations, replicates the configuration objects between
//! instances by revision, and builds the snapshot that requests are routed by. A replica never
//! returns to an older revision of an object, and a withdrawn version stays withdrawn.
//!
//! # Examples
//!
//! ```
//! let text = r#"
//! [[model]]
//! name = "summary"
//! "#;
//! let declared = catalog::Declarations::parse("models.toml", text).unwrap();
//! assert!(declared.validate().is_empty());
//! ```

mod declarations;
mod error;
mod key;
mod object;
mod replica;
mod resource;
mod snapshot;
mod validate;

pub use declarations::{Declaration, Declarations};
pub use error::ValidationError;
pub use key::{KeyRing, SigningKey, key_hash};
pub use object::{Digest, Object, Position, kind_of};
pub use replica::Replica;
pub use resource::{
    Arm, EndpointSpec, Experiment, Model, Objective, Policy, Pool, PoolKind, Resource,
    ResourceKind, Rollout, RolloutPhase, RolloutStatus, Version, VersionState, Workspace,
};
pub use snapshot::{CONFIG_PREFIX, KEY_RING_PATH, ROLLOUT_STATUS_PREFIX, SPEC_PREFIX, Snapshot};
