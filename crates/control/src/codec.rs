//! The interface that decodes and encodes objects of the platform's store.

use std::fmt;
use std::sync::Arc;

use catalog::Object;
use check::Findings;
use route::Table;
use serde_json::Value;
use serve::Endpoint;

/// A part of the store that is listed and watched by its path prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feed {
    /// The routing configuration.
    Config,
    /// The entries of the endpoints.
    Endpoints,
    /// The roll-outs with their statuses.
    Rollouts,
    /// The entries of the rosemarylift instances.
    Instances,
    /// The phase of each roll-out that the instances agreed on.
    Shifts,
    /// The zones that no request may reach. Only followed if the settings name a time for it.
    Evacuations,
}

impl Feed {
    /// All feeds, in the order in which their watches start.
    pub const ALL: [Feed; 6] = [
        Feed::Config,
        Feed::Endpoints,
        Feed::Rollouts,
        Feed::Instances,
        Feed::Shifts,
        Feed::Evacuations,
    ];
}

/// The reason why an object of the store could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    /// A description of the fault that names the field.
    pub message: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for DecodeError {}

/// An operator's request to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutSpec {
    /// The name of the service.
    pub service: Arc<str>,
    /// The version that is to receive all traffic.
    pub target: Arc<str>,
    /// The time within which traffic moves, in milliseconds.
    pub duration_ms: u64,
}

/// The state of a roll-out that operators read in its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// Traffic is still moving.
    Running,
    /// The target receives all traffic.
    Succeeded,
    /// The target was withdrawn and receives no traffic.
    RolledBack,
}

/// Decodes and encodes the store's objects. Implementations translate only and make no decisions.
pub trait StoreCodec: Send + Sync {
    /// Returns the path prefix of a feed.
    fn prefix(&self, feed: Feed) -> &str;

    /// Decodes the routing table from a configuration object.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a valid configuration.
    fn decode_table(&self, object: &Object) -> Result<Table, DecodeError>;

    /// Returns the first findings of the rules, up to a limit, in a configuration object that is decoded.
    fn check_config(&self, object: &Object, limit: usize) -> Findings {
        let _ = (object, limit);
        Findings::default()
    }

    /// Decodes an endpoint's entry.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or has an invalid value.
    fn decode_endpoint(&self, object: &Object) -> Result<Endpoint, DecodeError>;

    /// Decodes the spec of a roll-out.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a valid spec.
    fn decode_rollout(&self, object: &Object) -> Result<RolloutSpec, DecodeError>;

    /// Decodes the state of a roll-out, or returns `None` if the status is for another target.
    fn decode_rollout_state(&self, status: &Value, target: &str) -> Option<RolloutState>;

    /// Encodes the state of a roll-out to a target.
    fn encode_rollout_state(&self, state: RolloutState, target: &str) -> Value;
}
