//! The workspaces' quotas at this instance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use kernel::{Failure, Reason};
use limits::TokenBucket;

/// How many seconds of its rate a workspace may save up.
const BURST_S: f64 = 1.0;

/// How far refused callers are spread beyond the moment of the next token.
const JITTER_SHARE: f64 = 0.5;

/// The longest time until a caller should come back, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

#[derive(Debug)]
struct Slot {
    bucket: TokenBucket,
    asked: Arc<AtomicU64>,
}

/// The buckets of all workspaces.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceQuotas {
    slots: Mutex<HashMap<Arc<str>, Slot>>,
}

impl WorkspaceQuotas {
    /// Takes one request of a workspace's share.
    ///
    /// # Errors
    ///
    /// Fails with the moment to come back.
    pub(crate) fn try_acquire(
        &self,
        workspace: &Arc<str>,
        rate_per_s: f64,
        now_ms: u64,
    ) -> Result<(), Failure> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = slots.entry(workspace.clone()).or_insert_with(|| Slot {
            bucket: TokenBucket::new(rate_per_s, BURST_S, now_ms),
            asked: Arc::default(),
        });
        slot.asked.fetch_add(1, Ordering::Relaxed);
        slot.bucket.set_rate(rate_per_s, now_ms);
        let wait_ms = match slot.bucket.try_acquire(now_ms) {
            Ok(()) => return Ok(()),
            Err(wait_ms) => wait_ms.min(MAX_RETRY_AFTER_MS),
        };
        let spread_ms = (wait_ms as f64 * JITTER_SHARE * fastrand::f64()) as u64;
        let detail = format!("workspace '{workspace}' is over its quota");
        Err(Failure::not_run(Reason::OverQuota, detail).retry_after_ms(wait_ms + spread_ms + 1))
    }

    /// Returns the counters of requests asked for, by workspace.
    pub(crate) fn request_counts(&self) -> Vec<(Arc<str>, u64)> {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots
            .iter()
            .map(|(name, slot)| (name.clone(), slot.asked.load(Ordering::Relaxed)))
            .collect()
    }
}
