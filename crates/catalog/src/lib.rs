//! Resources that operators declare, their validation and their forward-only merge.
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
pub use object::{Digest, Object};
pub use replica::Replica;
pub use resource::{
    Arm, EndpointSpec, Experiment, Model, Objective, Policy, Pool, PoolKind, Resource,
    ResourceKind, Rollout, RolloutPhase, RolloutStatus, Version, VersionState, Workspace,
};
pub use snapshot::{CONFIG_PREFIX, KEY_RING_PATH, ROLLOUT_STATUS_PREFIX, SPEC_PREFIX, Snapshot};
