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

/// Instances that pass a report on in a large fleet: the collectors of two zones. A report that went on
/// and on would seem later each time.
const MAX_HOPS: u32 = 2;

/// What an endpoint said of its rate limit, at some time of this instance's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    limit_per_s: Option<f64>,
    observed_ms: u64,
    /// Instances that passed it on.
    hops: u32,
}

impl Observation {
    /// Returns whether it was made after another, as far as reports tell. One that was passed on more
    /// often and says the same may be the same one.
    fn is_after(&self, other: &Observation) -> bool {
        if self.limit_per_s == other.limit_per_s {
            return self.hops <= other.hops && self.observed_ms > other.observed_ms;
        }
        self.observed_ms > other.observed_ms + MAX_TRANSIT_MS
    }
}

/// What is known of the rate limit of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    own: Option<Observation>,
    reported: Option<Observation>,
}

impl Known {
    fn latest(&self) -> Option<Observation> {
        match (self.own, self.reported) {
            (Some(own), Some(reported)) if reported.is_after(&own) => Some(reported),
            (own, reported) => own.or(reported),
        }
    }

    fn limit_per_s(&self) -> Option<f64> {
        self.latest()?.limit_per_s
    }
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
    /// Instances that passed this on; 0 if the reporter heard it itself.
    pub hops: u32,
}

impl LimitEntry {
    /// Returns whether this instance may report it to others.
    pub fn may_be_passed_on(&self) -> bool {
        self.hops <= MAX_HOPS
    }
}

/// The latest that any instance heard from each endpoint that has or had a rate limit.
#[derive(Debug)]
pub struct SharedLimits {
    by_endpoint: Mutex<HashMap<u64, Known>>,
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
        if limit_per_s.is_none() && !by_endpoint.contains_key(&endpoint) {
            return;
        }
        let known = by_endpoint.entry(endpoint).or_default();
        let before = known.limit_per_s();
        known.own = Some(Observation {
            limit_per_s,
            observed_ms: now_ms,
            hops: 0,
        });
        // Whatever was reported until now is older.
        known.reported = None;
        self.notify_if_changed(before, known.limit_per_s());
    }

    /// Records what another instance reports, if it is later than what is known.
    pub fn merge(&self, entry: LimitEntry, now_ms: u64) {
        let reported = Observation {
            limit_per_s: entry.limit_per_s,
            observed_ms: now_ms.saturating_sub(entry.age_ms),
            hops: entry.hops + 1,
        };
        let mut by_endpoint = self.lock();
        let known = by_endpoint.entry(entry.endpoint).or_default();
        let before = known.limit_per_s();
        let latest = known.latest();
        if latest.is_none_or(|latest| reported.is_after(&latest)) {
            known.reported = Some(reported);
        }
        self.notify_if_changed(before, known.limit_per_s());
    }

    fn notify_if_changed(&self, before: Option<f64>, after: Option<f64>) {
        if before == after {
            return;
        }
        self.changes.fetch_add(1, Ordering::Release);
        // A full channel holds the notice of an earlier change.
        let _ = self.notify.try_send(());
    }

    /// Returns the latest observations of all instances.
    pub fn recent(&self, now_ms: u64) -> Vec<LimitEntry> {
        let mut by_endpoint = self.lock();
        let known_count = by_endpoint.len();
        by_endpoint.retain(|_, known| {
            let latest = known.latest();
            latest.is_some_and(|latest| now_ms < latest.observed_ms + MAX_AGE_MS)
        });
        if by_endpoint.len() < known_count {
            self.changes.fetch_add(1, Ordering::Release);
        }
        let mut entries = Vec::new();
        for (endpoint, known) in by_endpoint.iter() {
            let Some(latest) = known.latest() else {
                continue;
            };
            entries.push(LimitEntry {
                endpoint: *endpoint,
                limit_per_s: latest.limit_per_s,
                age_ms: now_ms.saturating_sub(latest.observed_ms),
                hops: latest.hops,
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
        self.lock().get(&endpoint)?.limit_per_s()
    }

    pub(crate) fn remove(&self, endpoint: u64) {
        self.lock().remove(&endpoint);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Known>> {
        self.by_endpoint
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
