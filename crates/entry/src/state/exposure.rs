//! Limits on the number of unrated requests to unproven versions.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Counts the unrated requests of each roll-out.
#[derive(Debug, Default)]
pub(crate) struct ExposureLimiter {
    counts: Mutex<HashMap<Arc<str>, Arc<AtomicU32>>>,
}

/// A permit for one unrated request. Dropping it frees its place in the count.
#[derive(Debug)]
pub(crate) struct ExposurePermit {
    count: Arc<AtomicU32>,
}

impl Drop for ExposurePermit {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ExposureLimiter {
    /// Acquires a permit for one request, or returns `None` if `allowance` permits are in use.
    pub(crate) fn try_acquire(&self, rollout: &Arc<str>, allowance: u32) -> Option<ExposurePermit> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(rollout.clone()).or_default().clone();
        drop(counts);
        let acquired = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |in_use| {
            (in_use < allowance).then_some(in_use + 1)
        });
        acquired.ok().map(|_| ExposurePermit { count })
    }
}
