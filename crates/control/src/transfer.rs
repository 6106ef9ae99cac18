//! One fetch of objects from a peer, with its log line and counts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use wire::LinkError;

use crate::offer::Offer;
use crate::state::Control;

/// A fetch that is under way. It counts as abandoned if it is dropped, as another one was faster.
pub(crate) struct Transfer<'a> {
    control: &'a Control,
    offer: &'a Offer,
    since: u64,
    began_ms: u64,
    bytes: Arc<AtomicU64>,
    has_ended: bool,
}

impl<'a> Transfer<'a> {
    /// Begins a fetch of the objects of an offer that are newer than a revision. `bytes` counts those
    /// sent and received.
    pub(crate) fn new(
        control: &'a Control,
        offer: &'a Offer,
        since: u64,
        bytes: Arc<AtomicU64>,
    ) -> Transfer<'a> {
        Transfer {
            control,
            offer,
            since,
            began_ms: control.now_ms(),
            bytes,
            has_ended: false,
        }
    }

    /// Records that some objects were received.
    pub(crate) fn complete(mut self, count: usize) {
        self.has_ended = true;
        let counters = &self.control.fetch_counters;
        counters.completed.fetch_add(1, Ordering::Relaxed);
        tracing::info!(
            peer = &*self.offer.peer_name,
            kind = &*self.offer.digest.kind,
            since = self.since,
            count,
            bytes = self.byte_count(),
            elapsed_ms = self.elapsed_ms(),
            "config: taken from a peer"
        );
    }

    /// Records that the fetch failed.
    pub(crate) fn fail(mut self, err: &LinkError) {
        self.has_ended = true;
        let counters = &self.control.fetch_counters;
        counters.failed.fetch_add(1, Ordering::Relaxed);
        tracing::info!(
            peer = &*self.offer.peer_name,
            kind = &*self.offer.digest.kind,
            since = self.since,
            bytes = self.byte_count(),
            elapsed_ms = self.elapsed_ms(),
            error = %err,
            "config: fetch failed"
        );
    }

    fn byte_count(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn elapsed_ms(&self) -> u64 {
        self.control.now_ms() - self.began_ms
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let counters = &self.control.fetch_counters;
        counters
            .bytes
            .fetch_add(self.byte_count(), Ordering::Relaxed);
        if self.has_ended {
            return;
        }
        counters.abandoned.fetch_add(1, Ordering::Relaxed);
        tracing::info!(
            peer = &*self.offer.peer_name,
            kind = &*self.offer.digest.kind,
            since = self.since,
            bytes = self.byte_count(),
            elapsed_ms = self.elapsed_ms(),
            "config: fetch abandoned"
        );
    }
}
