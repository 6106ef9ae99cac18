//! The configuration replica of an instance.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::Value;

use crate::object::{Digest, Object};

/// The path prefix of version specs.
const VERSION_PREFIX: &str = "config/spec/version/";

/// A replica of the configuration objects.
///
/// An object is only replaced by a higher revision of it, deleted objects are kept as tombstones,
/// and a version that was withdrawn in any applied revision stays withdrawn.
///
/// # Examples
///
/// ```
/// use catalog::{Object, Replica};
///
/// let mut replica = Replica::default();
/// let newer = Object { path: "spec/model/a".into(), revision: 2, value: None };
/// let older = Object { path: "spec/model/a".into(), revision: 1, value: None };
/// assert!(replica.apply(newer));
/// assert!(!replica.apply(older));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Replica {
    objects: BTreeMap<Arc<str>, Object>,
    withdrawn: BTreeSet<Arc<str>>,
    digest: Digest,
}

impl Replica {
    /// Stores an object if its revision is newer than the stored one, and returns whether it was.
    pub fn apply(&mut self, object: Object) -> bool {
        if let Some(stored) = self.objects.get(&object.path) {
            if stored.revision >= object.revision {
                return false;
            }
            let stored_revision = stored.revision;
            self.digest.toggle(&object.path, stored_revision);
        } else {
            self.digest.count += 1;
        }
        self.digest.toggle(&object.path, object.revision);
        self.digest.max_revision = self.digest.max_revision.max(object.revision);
        self.record_withdrawn(&object);
        self.objects.insert(object.path.clone(), object);
        true
    }

    /// Applies a complete listing as of a revision and returns whether anything changed.
    ///
    /// A stored object under the prefix that the listing lacks was deleted, unless it is newer than
    /// the listing.
    pub fn apply_listing(&mut self, prefix: &str, revision: u64, objects: Vec<Object>) -> bool {
        let listed: BTreeSet<Arc<str>> = objects.iter().map(|object| object.path.clone()).collect();
        let mut changed = false;
        for object in objects {
            changed |= self.apply(object);
        }
        let is_missing = |object: &&Object| {
            let was_listed = object.value.is_some() && object.revision < revision;
            was_listed && object.path.starts_with(prefix) && !listed.contains(&object.path)
        };
        let deleted: Vec<Arc<str>> = self
            .objects
            .values()
            .filter(is_missing)
            .map(|object| object.path.clone())
            .collect();
        for path in deleted {
            changed |= self.apply(Object {
                path,
                revision,
                value: None,
            });
        }
        changed
    }

    /// Returns the digest that instances compare with their peers.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns up to `limit` objects newer than a revision, oldest first, including deleted ones.
    pub fn since(&self, revision: u64, limit: usize) -> Vec<Object> {
        let mut newer: Vec<&Object> = self
            .objects
            .values()
            .filter(|object| object.revision > revision)
            .collect();
        newer.sort_by_key(|object| object.revision);
        newer.into_iter().take(limit).cloned().collect()
    }

    /// Returns all objects that are not deleted.
    pub fn live(&self) -> impl Iterator<Item = &Object> {
        self.objects
            .values()
            .filter(|object| object.value.is_some())
    }

    /// Returns the object at a path, also if it is deleted.
    pub fn get(&self, path: &str) -> Option<&Object> {
        self.objects.get(path)
    }

    /// Returns whether a version was withdrawn in any revision applied so far.
    pub fn is_withdrawn(&self, version: &str) -> bool {
        self.withdrawn.contains(version)
    }

    fn record_withdrawn(&mut self, object: &Object) {
        let Some(name) = object.path.strip_prefix(VERSION_PREFIX) else {
            return;
        };
        let state = object
            .value
            .as_ref()
            .and_then(|value| value.get("state"))
            .and_then(Value::as_str);
        if state == Some("withdrawn") {
            self.withdrawn.insert(name.into());
        }
    }
}
