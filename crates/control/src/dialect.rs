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
pub struct Problem {
    /// What is wrong, with the field's name.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
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
pub trait Dialect: Send + Sync {
    /// Returns the path prefix of a feed.
    fn prefix(&self, feed: Feed) -> &str;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a configuration.
    fn table(&self, object: &Object) -> Result<Table, Problem>;

    /// Reads an endpoint's entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry names no endpoint that could be used.
    fn endpoint(&self, object: &Object) -> Result<Endpoint, Problem>;

    /// Reads an order.
    ///
    /// # Errors
    ///
    /// Fails when the object is no order.
    fn rollout(&self, object: &Object) -> Result<RolloutOrder, Problem>;

    /// Reads how a roll-out to a version stands, or `None` if it says nothing of that version.
    fn rollout_state(&self, status: &Value, target: &str) -> Option<RolloutState>;

    /// Writes how a roll-out stands.
    fn write_rollout_state(&self, state: RolloutState, target: &str) -> Value;
}
