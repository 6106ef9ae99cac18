//! How the operator and the endpoints write what the store holds.

use std::fmt;
use std::sync::Arc;

use catalog::Object;
use route::Table;
use serde_json::Value;
use serve::Endpoint;

/// What a part of the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feed {
    /// The configuration.
    Config,
    /// The endpoints.
    Endpoints,
    /// The roll-outs and how they stand.
    Rollouts,
    /// The instances of this system.
    Instances,
    /// How far traffic has moved between versions.
    Shifts,
}

impl Feed {
    /// All feeds.
    pub const ALL: [Feed; 5] = [
        Feed::Config,
        Feed::Endpoints,
        Feed::Rollouts,
        Feed::Instances,
        Feed::Shifts,
    ];
}

/// An object that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    /// What is wrong, with the field's name.
    pub message: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for DecodeError {}

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutSpec {
    /// The service.
    pub service: Arc<str>,
    /// The version.
    pub target: Arc<str>,
    /// Within how long, in milliseconds.
    pub duration_ms: u64,
}

/// How a roll-out stands, as the operator reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// It is under way.
    Running,
    /// The version serves everything.
    Succeeded,
    /// The version serves nothing.
    RolledBack,
}

/// How the store's objects are written. It translates and decides nothing.
pub trait StoreCodec: Send + Sync {
    /// Returns the path prefix of a feed.
    fn prefix(&self, feed: Feed) -> &str;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a configuration.
    fn decode_table(&self, object: &Object) -> Result<Table, DecodeError>;

    /// Reads an endpoint's entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry names no endpoint that could be used.
    fn decode_endpoint(&self, object: &Object) -> Result<Endpoint, DecodeError>;

    /// Reads an order.
    ///
    /// # Errors
    ///
    /// Fails when the object is no order.
    fn decode_rollout(&self, object: &Object) -> Result<RolloutSpec, DecodeError>;

    /// Reads how a roll-out to a version stands, or `None` if it says nothing of that version.
    fn decode_rollout_state(&self, status: &Value, target: &str) -> Option<RolloutState>;

    /// Writes how a roll-out stands.
    fn encode_rollout_state(&self, state: RolloutState, target: &str) -> Value;
}
