//! Counts of fetches from peers.

use std::sync::atomic::AtomicU64;

/// Counts of fetches of objects from peers.
#[derive(Debug, Default)]
pub struct FetchCounters {
    /// Fetches that ended with a response.
    pub completed: AtomicU64,
    /// Fetches that failed or timed out.
    pub failed: AtomicU64,
    /// Fetches that were given up because another peer was faster.
    pub abandoned: AtomicU64,
    /// Bytes sent and received by all fetches.
    pub bytes: AtomicU64,
}
