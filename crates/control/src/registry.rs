//! The endpoints, as their entries in the store tell.

use std::collections::BTreeMap;
use std::sync::Arc;

use serve::Endpoint;

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// Until when the endpoint is kept although its entry is gone, in milliseconds.
    kept_until_ms: Option<u64>,
}

/// The endpoints by the path of their entries.
///
/// Entries can lapse while the store is away although their endpoints live, and are written again
/// soon after its return. Such an endpoint is kept for a moment.
///
/// # Examples
///
/// ```
/// use control::EndpointRegistry;
///
/// let mut registry = EndpointRegistry::default();
/// registry.remove("servers/a", None);
/// assert!(registry.usable(0).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    entries: BTreeMap<Arc<str>, Entry>,
}

impl EndpointRegistry {
    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes an entry.
    pub fn insert(&mut self, path: &Arc<str>, endpoint: Endpoint) {
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            kept_until_ms: None,
        };
        self.entries.insert(path.clone(), entry);
    }

    /// Takes the removal of an entry, whose endpoint is kept until a moment if the entry may have
    /// lapsed in an outage of the store.
    pub fn remove(&mut self, path: &str, kept_until_ms: Option<u64>) {
        if kept_until_ms.is_none() {
            self.entries.remove(path);
        } else if let Some(entry) = self.entries.get_mut(path) {
            entry.kept_until_ms = entry.kept_until_ms.or(kept_until_ms);
        }
    }

    /// Takes an entry that names no endpoint that could be used.
    pub fn invalidate(&mut self, path: &str) {
        self.entries.remove(path);
    }

    /// Forgets what lapsed too long ago, and returns whether there was any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.kept_until_ms.is_none_or(|until_ms| now_ms < until_ms));
        self.entries.len() != before
    }

    /// Returns the endpoints that take new work.
    pub fn usable(&self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut usable = Vec::new();
        for entry in self.entries.values() {
            let lapsed = entry
                .kept_until_ms
                .is_some_and(|until_ms| now_ms >= until_ms);
            if entry.endpoint.draining || lapsed {
                continue;
            }
            usable.push(entry.endpoint.clone());
        }
        usable
    }
}
