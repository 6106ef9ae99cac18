//! The configuration replica of an instance.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::Value;

use crate::object::{Digest, Object, Position, kind_of};

/// The path prefix of version specs.
const VERSION_PREFIX: &str = "config/spec/version/";

/// A replica of the configuration objects.
///
/// The objects of a kind are all of one era. Within it, an object is only replaced by a higher revision of
/// it; a listing of a later era replaces the whole kind, as the store came back from an older copy.
/// Deleted objects are kept as tombstones, and a version that was withdrawn in any applied revision stays
/// withdrawn.
///
/// # Examples
///
/// ```
/// use catalog::{Object, Position, Replica};
///
/// let mut replica = Replica::default();
/// let newer = Object { path: "spec/model/a".into(), revision: 2, value: None };
/// let older = Object { path: "spec/model/a".into(), revision: 1, value: None };
/// assert!(replica.apply(0, newer));
/// assert!(!replica.apply(0, older.clone()));
/// assert!(replica.apply_listing("spec/", Position { era: 1, revision: 1 }, vec![older]));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Replica {
    objects: BTreeMap<Arc<str>, Object>,
    withdrawn: BTreeSet<Arc<str>>,
    digests: BTreeMap<Arc<str>, Digest>,
    /// By kind, the era of its objects.
    eras: BTreeMap<Arc<str>, u64>,
}

impl Replica {
    /// Stores an object if its revision is newer than the stored one, and returns whether it was.
    ///
    /// An object of another era than its kind is ignored. A later era begins with a listing, as nothing is
    /// known of the other objects until then.
    pub fn apply(&mut self, era: u64, object: Object) -> bool {
        era == self.era_of(object.kind()) && self.apply_revision(object)
    }

    fn apply_revision(&mut self, object: Object) -> bool {
        let stored = self.objects.get(&object.path);
        let stored_revision = stored.map(|stored| stored.revision);
        if stored_revision >= Some(object.revision) {
            return false;
        }
        let digest = self.digests.entry(object.kind().into()).or_default();
        match stored_revision {
            Some(revision) => digest.toggle(&object.path, revision),
            None => digest.count += 1,
        }
        digest.toggle(&object.path, object.revision);
        digest.max_revision = digest.max_revision.max(object.revision);
        self.record_withdrawn(&object);
        self.objects.insert(object.path.clone(), object);
        true
    }

    /// Applies a complete listing as of a position and returns whether anything changed.
    ///
    /// A stored object under the prefix that the listing lacks was deleted, unless it is newer than
    /// the listing. A listing of a later era replaces all objects of the prefix's kind, and one of an earlier
    /// era is ignored.
    pub fn apply_listing(
        &mut self,
        prefix: &str,
        position: Position,
        objects: Vec<Object>,
    ) -> bool {
        let kind = kind_of(prefix);
        match position.era.cmp(&self.era_of(kind)) {
            Ordering::Less => return false,
            Ordering::Equal => {}
            Ordering::Greater => {
                self.replace_kind(kind, position, objects);
                return true;
            }
        }
        let revision = position.revision;
        let listed: BTreeSet<Arc<str>> = objects.iter().map(|object| object.path.clone()).collect();
        let mut changed = false;
        for object in objects {
            changed |= self.apply_revision(object);
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
            changed |= self.apply_revision(Object {
                path,
                revision,
                value: None,
            });
        }
        changed
    }

    /// Replaces all objects of a kind by those of a complete listing, whatever their revisions, as those of
    /// the store go back when it comes back from an older copy. Objects that the listing lacks count as
    /// deleted.
    pub fn replace_kind(&mut self, kind: &str, position: Position, objects: Vec<Object>) {
        let Position { era, revision } = position;
        self.eras.insert(kind.into(), era);
        let is_of_kind = |object: &&Object| object.kind() == kind;
        let held = self.objects.values().filter(is_of_kind);
        let held: Vec<Arc<str>> = held.map(|object| object.path.clone()).collect();
        self.objects.retain(|_, object| object.kind() != kind);
        self.digests.remove(kind);
        for object in objects {
            self.apply_revision(object);
        }
        for path in held {
            if self.objects.contains_key(&path) {
                continue;
            }
            self.apply_revision(Object {
                path,
                revision,
                value: None,
            });
        }
    }

    /// Returns the era of the objects of a kind.
    pub fn era_of(&self, kind: &str) -> u64 {
        self.eras.get(kind).copied().unwrap_or_default()
    }

    /// Returns the digest over all objects, which instances compare with their peers.
    pub fn digest(&self) -> Digest {
        self.digests
            .values()
            .copied()
            .fold(Digest::default(), Digest::union)
    }

    /// Returns the kinds of objects with the digest of each.
    ///
    /// Objects of one kind arrive in the order of their revisions, those of different kinds do not:
    /// a small object overtakes a large one.
    pub fn digests_by_kind(&self) -> impl Iterator<Item = (&Arc<str>, Digest)> {
        self.digests.iter().map(|(kind, digest)| (kind, *digest))
    }

    /// Returns the digest over the objects of a kind, or over all if `kind` is empty.
    pub fn digest_of(&self, kind: &str) -> Digest {
        if kind.is_empty() {
            return self.digest();
        }
        self.digests.get(kind).copied().unwrap_or_default()
    }

    /// Returns up to `limit` objects newer than a revision, oldest first, including deleted ones.
    pub fn since(&self, revision: u64, limit: usize) -> Vec<&Object> {
        self.since_of("", revision, limit)
    }

    /// Returns up to `limit` objects of a kind, or of all if `kind` is empty, that are newer than a
    /// revision, oldest first, including deleted ones.
    pub fn since_of(&self, kind: &str, revision: u64, limit: usize) -> Vec<&Object> {
        let is_newer = |object: &&Object| {
            object.revision > revision && (kind.is_empty() || object.kind() == kind)
        };
        let mut newer: Vec<&Object> = self.objects.values().filter(is_newer).collect();
        newer.sort_by_key(|object| object.revision);
        newer.truncate(limit);
        newer
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
