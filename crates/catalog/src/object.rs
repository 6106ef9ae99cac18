//! Versioned objects of the object API and digests over them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A versioned object of the platform's object API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The path, such as `config/spec/version/summary-s1`.
    pub path: Arc<str>,
    /// The store revision of the last write to this object.
    pub revision: u64,
    /// The value, or `None` for a deleted object.
    pub value: Option<Value>,
}

impl Object {
    /// Returns the kind, which is the part of the path before the first slash.
    pub fn kind(&self) -> &str {
        kind_of(&self.path)
    }
}

/// Returns the kind of the objects at a path or under a prefix, which is the part before the first slash.
pub fn kind_of(path: &str) -> &str {
    path.split('/').next().unwrap_or(path)
}

/// A revision of the store. Those of a later era come after all of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// How often the store had come back from an older copy. Its revisions go back then, and are given out
    /// again.
    pub era: u64,
    /// The revision.
    pub revision: u64,
}

/// A digest of a set of objects. Equal sets have equal digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digest {
    /// The number of objects, including deleted ones.
    pub count: u64,
    /// The highest revision of any object.
    pub max_revision: u64,
    /// The XOR of one hash per path and revision, so that the order of objects does not matter.
    pub hash: u64,
}

impl Digest {
    /// Returns the digest of two sets without common objects.
    pub(crate) fn union(self, other: Digest) -> Digest {
        Digest {
            count: self.count + other.count,
            max_revision: self.max_revision.max(other.max_revision),
            hash: self.hash ^ other.hash,
        }
    }

    /// Adds an object to the hash, or removes it if it is part of it already.
    pub(crate) fn toggle(&mut self, path: &str, revision: u64) {
        self.hash ^= xxh3_64_with_seed(path.as_bytes(), revision);
    }
}
