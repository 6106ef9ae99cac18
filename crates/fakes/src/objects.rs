//! In-memory object store with the semantics of the platform's object API.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catalog::Object;
use serde_json::Value;
use store::{Listing, Precondition, StoreError};

/// Number of changes kept for watches.
const MAX_HISTORY: usize = 20_000;

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<Arc<str>, Object>,
    history: Vec<Object>,
    expired_revision: u64,
    stale: Option<Listing>,
}

/// In-memory object store with revisions, preconditions and a change history.
#[derive(Debug, Default)]
pub struct ObjectStore {
    inner: Mutex<Inner>,
}

impl ObjectStore {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails with `NotFound` when there is no object at the path.
    pub fn get(&self, path: &str) -> Result<Object, StoreError> {
        self.inner()
            .objects
            .get(path)
            .cloned()
            .ok_or(StoreError::NotFound)
    }

    /// Lists the objects whose paths start with a prefix.
    pub fn list(&self, prefix: &str) -> Listing {
        let inner = self.inner();
        let objects = inner
            .objects
            .values()
            .filter(|object| object.path.starts_with(prefix));
        Listing {
            revision: inner.revision,
            era: 0,
            objects: objects.cloned().collect(),
        }
    }

    /// Writes an object and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails with `Conflict` when the precondition does not hold.
    pub fn put(&self, path: &str, value: Value, expect: Precondition) -> Result<u64, StoreError> {
        self.write(path, Some(value), expect)
    }

    /// Deletes an object and returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// Fails with `Conflict` when the precondition does not hold, with `NotFound` when there is no
    /// object at the path.
    pub fn delete(&self, path: &str, expect: Precondition) -> Result<u64, StoreError> {
        self.write(path, None, expect)
    }

    /// Returns the changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails with `Expired` when the history no longer reaches back to the revision.
    pub fn changes(&self, prefix: &str, from_revision: u64) -> Result<Listing, StoreError> {
        let inner = self.inner();
        if from_revision < inner.expired_revision {
            return Err(StoreError::Expired);
        }
        let start = inner
            .history
            .partition_point(|object| object.revision <= from_revision);
        let changed = inner.history[start..]
            .iter()
            .filter(|object| object.path.starts_with(prefix));
        Ok(Listing {
            revision: inner.revision,
            era: 0,
            objects: changed.cloned().collect(),
        })
    }

    /// Drops the change history, so that watches from an earlier revision expire.
    pub fn expire_history(&self) {
        let mut inner = self.inner();
        inner.history.clear();
        inner.expired_revision = inner.revision;
    }

    /// Saves the current listing, which [`ObjectStore::stale_list`] then returns.
    pub fn capture_stale_list(&self) {
        let listing = self.list("");
        self.inner().stale = Some(listing);
    }

    /// Lists the objects as of the last saved listing, or the current ones if none was saved.
    pub fn stale_list(&self, prefix: &str) -> Listing {
        let inner = self.inner();
        let Some(stale) = &inner.stale else {
            drop(inner);
            return self.list(prefix);
        };
        let objects = stale
            .objects
            .iter()
            .filter(|object| object.path.starts_with(prefix));
        Listing {
            revision: stale.revision,
            era: 0,
            objects: objects.cloned().collect(),
        }
    }

    fn write(
        &self,
        path: &str,
        value: Option<Value>,
        expect: Precondition,
    ) -> Result<u64, StoreError> {
        let mut inner = self.inner();
        let current = inner.objects.get(path).map(|object| object.revision);
        let holds = match expect {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current == Some(revision),
        };
        if !holds {
            return Err(StoreError::Conflict);
        }
        if current.is_none() && value.is_none() {
            return Err(StoreError::NotFound);
        }
        inner.revision += 1;
        let revision = inner.revision;
        let object = Object {
            path: path.into(),
            revision,
            value,
        };
        if object.value.is_some() {
            inner.objects.insert(object.path.clone(), object.clone());
        } else {
            inner.objects.remove(path);
        }
        inner.history.push(object);
        if inner.history.len() > MAX_HISTORY {
            let dropped = inner.history.remove(0);
            inner.expired_revision = dropped.revision;
        }
        Ok(revision)
    }
}
