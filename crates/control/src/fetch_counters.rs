//! Counts of fetches from peers.

use std::sync::atomic::AtomicU64;

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
