//! The endpoints, as their entries in the store tell.

use std::collections::BTreeMap;
use std::sync::Arc;

use serve::Endpoint;

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// When the entry lapsed around an outage of the store, in milliseconds.
    lapsed_ms: Option<u64>,
}

/// The endpoints by the path of their entries.
///
/// Entries can lapse while the store is away although their endpoints live, and are written again
/// soon after its return. Such an endpoint is kept for a moment.
///
/// # Examples
///
/// ```
/// use control::Registry;
///
/// let mut registry = Registry::new(2_000);
/// registry.remove("servers/a", false, 0);
/// assert!(registry.usable(0).is_empty());
/// ```
#[derive(Debug)]
pub struct Registry {
    grace_ms: u64,
    entries: BTreeMap<Arc<str>, Entry>,
}

impl Registry {
    /// Makes an empty registry that keeps lapsed endpoints for a while.
    pub fn new(grace_ms: u64) -> Registry {
        Registry {
            grace_ms,
            entries: BTreeMap::new(),
        }
    }

    /// Takes an entry.
    pub fn put(&mut self, path: &Arc<str>, endpoint: Endpoint) {
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            lapsed_ms: None,
        };
        self.entries.insert(path.clone(), entry);
    }

    /// Takes the removal of an entry; `outage` says whether the store was away just before.
    pub fn remove(&mut self, path: &str, outage: bool, now_ms: u64) {
        if !outage {
            self.entries.remove(path);
            return;
        }
        if let Some(entry) = self.entries.get_mut(path) {
            entry.lapsed_ms.get_or_insert(now_ms);
        }
    }

    /// Takes an entry that names no endpoint that could be used.
    pub fn spoil(&mut self, path: &str) {
        self.entries.remove(path);
    }

    /// Forgets what lapsed too long ago, and returns whether there was any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.entries.len();
        let grace_ms = self.grace_ms;
        self.entries.retain(|_, entry| {
            entry
                .lapsed_ms
                .is_none_or(|lapsed_ms| now_ms < lapsed_ms + grace_ms)
        });
        self.entries.len() != before
    }

    /// Returns the endpoints that take new work.
    pub fn usable(&self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut usable = Vec::new();
        for entry in self.entries.values() {
            let lapsed = entry
                .lapsed_ms
                .is_some_and(|lapsed_ms| now_ms >= lapsed_ms + self.grace_ms);
            if entry.endpoint.leaving || lapsed {
                continue;
            }
            usable.push(entry.endpoint.clone());
        }
        usable
    }
}
