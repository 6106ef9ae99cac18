//! The traits of the platform's services.

use std::sync::Arc;

use catalog::Object;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use web::BoxFuture;

use crate::error::StoreError;

/// What a conditional write expects of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// Nothing.
    Any,
    /// That it does not exist.
    Absent,
    /// That it was last written at this revision.
    Revision(u64),
}

/// Objects as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision.
    pub revision: u64,
    /// The objects; in an answer to a watch, those that changed, deleted ones included.
    pub objects: Vec<Object>,
}

/// The versioned object API.
pub trait ObjectApi: Send + Sync {
    /// Reads one object.
    fn get<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Object, StoreError>>;

    /// Reads all objects under a path prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Writes an object and returns its new revision.
    fn put<'a>(
        &'a self,
        path: &'a str,
        value: &'a Value,
        expect: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Deletes an object and returns the revision of the deletion.
    fn delete<'a>(
        &'a self,
        path: &'a str,
        expect: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Waits up to `wait_ms` for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from_revision: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Listing, StoreError>>;
}

/// The state of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to go.
    Leaving,
}

/// One row of the platform's instance list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub name: Arc<str>,
    /// The IP address and port on which it is reached.
    pub addr: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The state.
    pub state: InstanceState,
}

/// The platform's list of entry and endpoint instances.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, StoreError>>;
}

/// An answer to be rated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerSample {
    /// The identifier under which the rating is asked for later.
    pub id: Arc<str>,
    /// The version that answered.
    pub version: Arc<str>,
    /// The request class.
    pub class: Arc<str>,
    /// The answer's text.
    pub answer: String,
}

/// A rated answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// The sample's identifier.
    pub id: Arc<str>,
    /// Whether the answer is good.
    pub good: bool,
}

/// The service that rates answers.
pub trait RatingService: Send + Sync {
    /// Hands in answers.
    fn submit<'a>(&'a self, samples: &'a [AnswerSample]) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Asks for the ratings there are.
    fn ratings<'a>(&'a self, ids: &'a [Arc<str>])
    -> BoxFuture<'a, Result<Vec<Rating>, StoreError>>;
}

/// The weights of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The version.
    pub version: Arc<str>,
    /// The size, in bytes.
    pub size_bytes: u64,
}

/// The rate-limited weight store.
pub trait WeightStore: Send + Sync {
    /// Looks up the weights of a version.
    fn weights<'a>(&'a self, version: &'a str) -> BoxFuture<'a, Result<Weights, StoreError>>;
}
