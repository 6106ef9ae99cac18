//! The registry of endpoints, built from their entries in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use serve::Endpoint;

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// Until when the endpoint is kept although its entry was removed, in milliseconds.
    kept_until_ms: Option<u64>,
}

/// The endpoints, keyed by the path of their entries.
///
/// Entries can expire during an outage of the store although their endpoints are alive, and are
/// written again soon after it. Such endpoints are kept for a grace period.
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
    /// By path, the start of the latest run that was seen to leave. A run that leaves does not return,
    /// also if an older copy of the store lists it as before.
    leaving_runs: BTreeMap<Arc<str>, u64>,
}

/// The most runs that leave which are remembered.
const MAX_LEAVING_RUNS: usize = 4_096;

impl EndpointRegistry {
    /// Returns whether the registry holds no endpoint, including those in their grace period.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an endpoint, or replaces the one at the same path and ends its grace period.
    pub fn insert(&mut self, path: &Arc<str>, mut endpoint: Endpoint) {
        if endpoint.draining {
            self.record_leaving(path, &endpoint);
        }
        let left_ms = self.leaving_runs.get(path).copied();
        endpoint.draining |= left_ms.is_some() && left_ms == endpoint.started_ms;
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            kept_until_ms: None,
        };
        self.entries.insert(path.clone(), entry);
    }

    fn record_leaving(&mut self, path: &Arc<str>, endpoint: &Endpoint) {
        let Some(started_ms) = endpoint.started_ms else {
            return;
        };
        if self.leaving_runs.len() >= MAX_LEAVING_RUNS {
            let entries = &self.entries;
            self.leaving_runs
                .retain(|path, _| entries.contains_key(path));
        }
        self.leaving_runs.insert(path.clone(), started_ms);
    }

    /// Handles the removal of an entry. With `kept_until_ms`, the entry may have expired in an
    /// outage of the store, and the endpoint is kept until that time in milliseconds.
    pub fn remove(&mut self, path: &str, kept_until_ms: Option<u64>) {
        if kept_until_ms.is_none() {
            self.entries.remove(path);
        } else if let Some(entry) = self.entries.get_mut(path) {
            entry.kept_until_ms = entry.kept_until_ms.or(kept_until_ms);
        }
    }

    /// Removes the endpoint of an entry that cannot be decoded.
    pub fn invalidate(&mut self, path: &str) {
        self.entries.remove(path);
    }

    /// Returns when the first grace period ends, in milliseconds, if an endpoint is in one.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let kept = self
            .entries
            .values()
            .filter_map(|entry| entry.kept_until_ms);
        kept.min()
    }

    /// Removes the endpoints whose grace period is over, and returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let count_before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.kept_until_ms.is_none_or(|until_ms| now_ms < until_ms));
        self.entries.len() != count_before
    }

    /// Returns the endpoints that accept new requests.
    pub fn usable(&self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut usable = Vec::new();
        for entry in self.entries.values() {
            let has_expired = entry
                .kept_until_ms
                .is_some_and(|until_ms| now_ms >= until_ms);
            if entry.endpoint.draining || has_expired {
                continue;
            }
            usable.push(entry.endpoint.clone());
        }
        usable
    }
}
