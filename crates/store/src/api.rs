//! Traits and types of the platform services.

use std::sync::Arc;

use catalog::{Object, Position};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use web::BoxFuture;

use crate::error::StoreError;

/// The condition under which a write is executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No condition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object was last written at this revision.
    Revision(u64),
}

/// The objects under a prefix as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The store revision of the listing.
    pub revision: u64,
    /// How often the store has come back from an older copy. Revisions go back then.
    #[serde(default)]
    pub era: u64,
    /// The objects. For a watch, those changed since the watched revision, including deleted ones.
    pub objects: Vec<Object>,
}

impl Listing {
    /// Returns the position as of which the listing is.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// The versioned object store of the platform.
pub trait ObjectApi: Send + Sync {
    /// Reads one object.
    fn get<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Object, StoreError>>;

    /// Asks for a response of the store, also one that is out of date, at the lowest cost.
    fn ping(&self) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reads all objects under a path prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Writes an object and returns its new revision.
    fn put<'a>(
        &'a self,
        path: &'a str,
        value: &'a Value,
        precondition: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Deletes an object and returns the revision of the deletion.
    fn delete<'a>(
        &'a self,
        path: &'a str,
        precondition: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Waits up to `wait_ms` for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from_revision: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Listing, StoreError>>;
}

/// The state of an instance in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is shutting down.
    Leaving,
}

/// An entry of the platform's instance list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The unique name of the instance.
    pub name: Arc<str>,
    /// The IP address and port on which the instance listens.
    pub addr: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Whether the instance is running or shutting down.
    pub state: InstanceState,
}

/// The platform's list of entry and endpoint instances.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, StoreError>>;
}

/// An answer submitted for rating.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerSample {
    /// The identifier by which the rating is fetched later.
    pub id: Arc<str>,
    /// The version that produced the answer.
    pub version: Arc<str>,
    /// The request class.
    pub class: Arc<str>,
    /// The answer's text.
    pub answer: String,
}

/// The rating of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// The identifier of the sample.
    pub id: Arc<str>,
    /// Whether the answer was rated good.
    pub good: bool,
}

/// The service that rates answers.
pub trait RatingService: Send + Sync {
    /// Submits answers for rating.
    fn submit<'a>(&'a self, samples: &'a [AnswerSample]) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Fetches the ratings available for the given sample identifiers.
    fn ratings<'a>(&'a self, ids: &'a [Arc<str>])
    -> BoxFuture<'a, Result<Vec<Rating>, StoreError>>;
}

/// Metadata of the weights of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The name of the version.
    pub version: Arc<str>,
    /// The size of the weights, in bytes.
    pub size_bytes: u64,
}

/// The platform's weight store. It limits the rate of calls on the server side.
pub trait WeightStore: Send + Sync {
    /// Returns the metadata of the weights of a version.
    fn weights<'a>(&'a self, version: &'a str) -> BoxFuture<'a, Result<Weights, StoreError>>;
}
