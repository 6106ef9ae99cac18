//! Fetches objects from peers that hold later ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use wire::{Body, Envelope, Fetch, Link, LinkError};

use crate::convert::object_from_wire;
use crate::state::Control;

/// Counts of fetches of objects from peers.
#[derive(Debug, Default)]
pub struct FetchCounters {
    /// Fetches that ended with a response.
    pub completed: AtomicU64,
    /// Fetches that failed or timed out.
    pub failed: AtomicU64,
    /// Bytes sent and received by fetches of either kind.
    pub bytes: AtomicU64,
}

/// A link to a peer and its count of bytes.
pub(crate) struct PeerLink {
    pub(crate) link: Link,
    pub(crate) bytes: Arc<AtomicU64>,
}

impl PeerLink {
    /// Counts the bytes on a link.
    pub(crate) fn new(link: Link) -> PeerLink {
        let bytes: Arc<AtomicU64> = Arc::default();
        PeerLink {
            link: link.metered(&bytes),
            bytes,
        }
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Fetches and applies the objects that a peer holds after a revision.
pub(crate) async fn fetch(
    control: &Control,
    peer: &mut PeerLink,
    peer_name: &str,
    since: u64,
    timeout: Duration,
) -> Result<(), LinkError> {
    let began_ms = control.now_ms();
    let bytes_before = peer.bytes();
    let result = request(control, peer, since, timeout).await;
    let bytes = peer.bytes() - bytes_before;
    let elapsed_ms = control.now_ms() - began_ms;
    let counters = &control.fetch_counters;
    counters.bytes.fetch_add(bytes, Ordering::Relaxed);
    match &result {
        Ok(count) => {
            counters.completed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(
                peer = peer_name,
                since,
                count,
                bytes,
                elapsed_ms,
                "config: taken from a peer"
            );
        }
        Err(err) => {
            counters.failed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(
                peer = peer_name,
                since,
                bytes,
                elapsed_ms,
                error = %err,
                "config: fetch failed"
            );
        }
    }
    result.map(|_| ())
}

/// Returns the number of objects received.
async fn request(
    control: &Control,
    peer: &mut PeerLink,
    since: u64,
    timeout: Duration,
) -> Result<usize, LinkError> {
    let request = Envelope::new(control.incarnation.as_u64(), Body::Fetch(Fetch { since }));
    let response = peer.link.call(&request, timeout).await?;
    let Some(Body::Objects(objects)) = response.body else {
        return Ok(0);
    };
    let mut decoded = Vec::new();
    for entry in &objects.objects {
        match object_from_wire(entry) {
            Some(object) => decoded.push(object),
            None => tracing::warn!(path = entry.path, "member: object from a peer is not JSON"),
        }
    }
    let count = decoded.len();
    control.apply_objects(decoded);
    Ok(count)
}
