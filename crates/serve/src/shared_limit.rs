//! Rate limits of endpoints, shared with the thread that exchanges them with other instances.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender, bounded};

/// How long an observation counts, in milliseconds. An endpoint that has a limit is asked far more
/// often than that, so it must be gone.
const MAX_AGE_MS: u64 = 600_000;

/// How much later than another a report must be to replace it by a different limit, in
/// milliseconds. A report seems later than it is by the time that it took to arrive.
const MAX_TRANSIT_MS: u64 = 100;

/// What an endpoint said of its rate limit, at some time of this instance's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    limit_per_s: Option<f64>,
    observed_ms: u64,
}

/// What an endpoint said of its rate limit, as instances report it to one another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitEntry {
    /// Hash of the endpoint's identifier and start.
    pub endpoint: u64,
    /// Requests per second that it takes from all instances together, if it named a limit.
    pub limit_per_s: Option<f64>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// The latest that any instance heard from each endpoint that has or had a rate limit.
#[derive(Debug)]
pub struct SharedLimits {
    by_endpoint: Mutex<HashMap<u64, Observation>>,
    changes: AtomicU64,
    notify: Sender<()>,
    notified: Receiver<()>,
}

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        let (notify, notified) = bounded(1);
        SharedLimits {
            by_endpoint: Mutex::default(),
            changes: AtomicU64::new(0),
            notify,
            notified,
        }
    }
}

impl SharedLimits {
    /// Records the limit that an endpoint names in a response to this instance, or that it names
    /// none.
    pub fn observe(&self, endpoint: u64, limit_per_s: Option<f64>, now_ms: u64) {
        let mut by_endpoint = self.lock();
        let known = by_endpoint.get(&endpoint).copied();
        if limit_per_s.is_none() && known.is_none() {
            return;
        }
        let observation = Observation {
            limit_per_s,
            observed_ms: now_ms,
        };
        by_endpoint.insert(endpoint, observation);
        self.notify_if_changed(known, observation);
    }

    /// Records what another instance reports, if it is later than what is known.
    pub fn merge(&self, entry: LimitEntry, now_ms: u64) {
        let reported = Observation {
            limit_per_s: entry.limit_per_s,
            observed_ms: now_ms.saturating_sub(entry.age_ms),
        };
        let mut by_endpoint = self.lock();
        let known = by_endpoint.get(&entry.endpoint).copied();
        if let Some(known) = known {
            let is_equal = known.limit_per_s == reported.limit_per_s;
            let margin_ms = if is_equal { 0 } else { MAX_TRANSIT_MS };
            if reported.observed_ms <= known.observed_ms + margin_ms {
                return;
            }
        }
        by_endpoint.insert(entry.endpoint, reported);
        self.notify_if_changed(known, reported);
    }

    fn notify_if_changed(&self, before: Option<Observation>, after: Observation) {
        if before.and_then(|before| before.limit_per_s) == after.limit_per_s {
            return;
        }
        self.changes.fetch_add(1, Ordering::Release);
        // A full channel holds the notice of an earlier change.
        let _ = self.notify.try_send(());
    }

    /// Returns the observations to report to other instances.
    pub fn recent(&self, now_ms: u64) -> Vec<LimitEntry> {
        let mut by_endpoint = self.lock();
        let known_count = by_endpoint.len();
        by_endpoint.retain(|_, observation| now_ms < observation.observed_ms + MAX_AGE_MS);
        if by_endpoint.len() < known_count {
            self.changes.fetch_add(1, Ordering::Release);
        }
        let mut entries = Vec::new();
        for (endpoint, observation) in by_endpoint.iter() {
            entries.push(LimitEntry {
                endpoint: *endpoint,
                limit_per_s: observation.limit_per_s,
                age_ms: now_ms.saturating_sub(observation.observed_ms),
            });
        }
        entries
    }

    /// Waits until a limit has changed since the last call returned.
    pub async fn changed(&self) {
        // The sender is kept, so the channel does not close.
        let _ = self.notified.recv().await;
    }

    /// Returns the number of changes of limits so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// Returns the rate limit of an endpoint, in requests per second.
    pub(crate) fn limit_per_s(&self, endpoint: u64) -> Option<f64> {
        self.lock().get(&endpoint)?.limit_per_s
    }

    pub(crate) fn remove(&self, endpoint: u64) {
        self.lock().remove(&endpoint);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Observation>> {
        self.by_endpoint
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
