//! Objects as the platform keeps them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One versioned object of the platform's object API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The path, for instance `config/spec/version/summary-s1`.
    pub path: Arc<str>,
    /// The store's revision at the last write of this object.
    pub revision: u64,
    /// The value, or `None` for a deleted object.
    pub value: Option<Value>,
}

/// A short summary of a set of objects, equal for equal sets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digest {
    /// The number of objects, deleted ones included.
    pub count: u64,
    /// The highest revision.
    pub max_revision: u64,
    /// The hash over paths and revisions, independent of order.
    pub hash: u64,
}

impl Digest {
    /// Adds or removes one object's share of the hash.
    pub(crate) fn toggle(&mut self, path: &str, revision: u64) {
        self.hash ^= xxh3_64_with_seed(path.as_bytes(), revision);
    }
}
