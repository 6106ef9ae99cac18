//! The count of unrated requests on unproven versions.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Unrated requests, by roll-out.
#[derive(Debug, Default)]
pub(crate) struct ExposureLimiter {
    counts: Mutex<HashMap<Arc<str>, Arc<AtomicU32>>>,
}

/// One unrated request; counts until it is rated or dropped.
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
    /// Takes one request of an allowance, or returns `None` when it is used up.
    pub(crate) fn try_acquire(&self, rollout: &Arc<str>, allowance: u32) -> Option<ExposurePermit> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(rollout.clone()).or_default().clone();
        drop(counts);
        let taken = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            (held < allowance).then_some(held + 1)
        });
        taken.ok().map(|_| ExposurePermit { count })
    }
}
