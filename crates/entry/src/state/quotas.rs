//! Enforcement of the workspaces' request quotas at this instance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use kernel::{Failure, Reason};
use limits::TokenBucket;

/// The burst that a workspace may accumulate, in seconds of its rate.
const BURST_S: f64 = 1.0;

/// The maximum jitter of the retry-after, as a share of the time until the next token.
const JITTER_SHARE: f64 = 0.5;

/// The maximum retry-after without jitter.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

#[derive(Debug)]
struct Slot {
    bucket: TokenBucket,
    requests: Arc<AtomicU64>,
}

/// The token buckets of all workspaces.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceQuotas {
    slots: Mutex<HashMap<Arc<str>, Slot>>,
}

impl WorkspaceQuotas {
    /// Acquires a token for one request from a workspace's bucket, which is refilled at
    /// `rate_per_s`.
    ///
    /// # Errors
    ///
    /// Returns `OverQuota` with a retry-after if the bucket is empty.
    pub(crate) fn try_acquire(
        &self,
        workspace: &Arc<str>,
        rate_per_s: f64,
        now_ms: u64,
    ) -> Result<(), Failure> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = slots.entry(workspace.clone()).or_insert_with(|| Slot {
            bucket: TokenBucket::new(rate_per_s, BURST_S, now_ms),
            requests: Arc::default(),
        });
        slot.requests.fetch_add(1, Ordering::Relaxed);
        slot.bucket.set_rate(rate_per_s, now_ms);
        let wait_ms = match slot.bucket.try_acquire(now_ms) {
            Ok(()) => return Ok(()),
            Err(wait_ms) => wait_ms.min(MAX_RETRY_AFTER_MS),
        };
        let spread_ms = (wait_ms as f64 * JITTER_SHARE * fastrand::f64()) as u64;
        let detail = format!("workspace '{workspace}' is over its quota");
        Err(Failure::not_run(Reason::OverQuota, detail).retry_after_ms(wait_ms + spread_ms + 1))
    }

    /// Returns the number of requests received so far, refused ones included, by workspace.
    pub(crate) fn request_counts(&self) -> Vec<(Arc<str>, u64)> {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots
            .iter()
            .map(|(name, slot)| (name.clone(), slot.requests.load(Ordering::Relaxed)))
            .collect()
    }
}
