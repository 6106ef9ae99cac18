//! Which endpoints are cold, shared with the thread that exchanges this with other instances.
//!
//! Endpoints are told apart by their identifiers alone: instances whose views differ know different runs of one that
//! came back.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender, bounded};
use limits::ColdPeriod;
use xxhash_rust::xxh3::xxh3_64;

/// A cold endpoint, as instances report it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdEntry {
    /// Hash of the endpoint's identifier.
    pub endpoint: u64,
    /// For how long it stays cold, in milliseconds.
    pub left_ms: u64,
    /// Instances that passed this on; 0 if the reporter observed it itself.
    pub hops: u32,
}

/// The cold period of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointPeriod {
    period: Mutex<ColdPeriod>,
    /// Where others are told soon that the endpoint became cold.
    notify: Option<Sender<()>>,
}

impl EndpointPeriod {
    /// Returns what is known now.
    pub(crate) fn get(&self) -> ColdPeriod {
        *self.lock()
    }

    /// Changes what is known.
    pub(crate) fn update(&self, now_ms: u64, change: impl FnOnce(&mut ColdPeriod)) {
        let mut period = self.lock();
        let was_reported = period.to_report(now_ms).is_some();
        change(&mut period);
        let is_news = !was_reported && period.to_report(now_ms).is_some();
        drop(period);
        if let Some(notify) = self.notify.as_ref().filter(|_| is_news) {
            // A full channel holds the notice of an earlier change.
            let _ = notify.try_send(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, ColdPeriod> {
        self.period.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The cold periods of endpoints, and counts of requests to them.
#[derive(Debug)]
pub struct SharedCold {
    by_endpoint: Mutex<HashMap<u64, Arc<EndpointPeriod>>>,
    /// Requests sent to cold endpoints.
    pub sent: AtomicU64,
    /// Choices of an endpoint for which cold ones were passed over.
    pub withheld: AtomicU64,
    notify: Sender<()>,
    notified: Receiver<()>,
}

impl Default for SharedCold {
    fn default() -> SharedCold {
        let (notify, notified) = bounded(1);
        SharedCold {
            by_endpoint: Mutex::default(),
            sent: AtomicU64::new(0),
            withheld: AtomicU64::new(0),
            notify,
            notified,
        }
    }
}

impl SharedCold {
    /// Records that this instance found an endpoint, by the hash of its identifier, to be cold for a time.
    pub fn observe(&self, endpoint: u64, left_ms: u64, now_ms: u64) {
        let period = self.period(endpoint);
        period.update(now_ms, |period| period.observe(left_ms, true, now_ms));
    }

    /// Returns whether an endpoint, by the hash of its identifier, is known to be cold.
    pub fn is_cold(&self, endpoint: u64, now_ms: u64) -> bool {
        let period = self.periods().get(&endpoint).cloned();
        period.is_some_and(|period| period.get().is_cold(now_ms))
    }

    /// Records what another instance reports, if it is news.
    pub fn merge(&self, entry: ColdEntry, now_ms: u64) {
        let period = self.period(entry.endpoint);
        period.update(now_ms, |period| {
            period.merge(entry.left_ms, entry.hops, now_ms);
        });
    }

    /// Returns the endpoints that others are to be told to be cold, and forgets those that are not known to be.
    pub fn to_report(&self, now_ms: u64) -> Vec<ColdEntry> {
        let mut entries = Vec::new();
        let mut periods = self.periods();
        // Those that no state of an endpoint holds are of endpoints that are gone.
        periods.retain(|_, period| Arc::strong_count(period) > 1 || period.get().is_cold(now_ms));
        for (endpoint, period) in periods.iter() {
            let Some((left_ms, hops)) = period.get().to_report(now_ms) else {
                continue;
            };
            entries.push(ColdEntry {
                endpoint: *endpoint,
                left_ms,
                hops,
            });
        }
        entries
    }

    /// Waits until an endpoint became cold since the last call returned.
    pub async fn changed(&self) {
        // The sender is kept, so the channel does not close.
        let _ = self.notified.recv().await;
    }

    /// Returns the period of an endpoint, which is created if there is none yet.
    pub(crate) fn of(&self, endpoint_id: &str) -> Arc<EndpointPeriod> {
        self.period(xxh3_64(endpoint_id.as_bytes()))
    }

    pub(crate) fn count_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_withheld(&self) {
        self.withheld.fetch_add(1, Ordering::Relaxed);
    }

    fn period(&self, endpoint: u64) -> Arc<EndpointPeriod> {
        let new = || EndpointPeriod {
            notify: Some(self.notify.clone()),
            ..EndpointPeriod::default()
        };
        let mut periods = self.periods();
        periods
            .entry(endpoint)
            .or_insert_with(|| Arc::new(new()))
            .clone()
    }

    fn periods(&self) -> MutexGuard<'_, HashMap<u64, Arc<EndpointPeriod>>> {
        self.by_endpoint
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
