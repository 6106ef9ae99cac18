//! What the stand-ins of one deployment share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use store::ListedInstance;

use crate::call_log::{OrderLog, RunLog};
use crate::faults::FaultInjector;
use crate::objects::ObjectStore;
use crate::ratings::Ratings;

/// The share of good answers of a version that is not declared.
const UNKNOWN_QUALITY: f64 = 0.5;

/// What all stand-ins share.
pub struct FakeState {
    /// The object API's contents.
    pub objects: ObjectStore,
    /// The switches for faults.
    pub faults: FaultInjector,
    /// What endpoints ran.
    pub runs: RunLog,
    /// The orders that endpoints got.
    pub orders: OrderLog,
    /// How long a token or service call takes, in milliseconds.
    pub token_ms: u64,
    pub(crate) ratings: Ratings,
    pub(crate) instances: Mutex<Vec<ListedInstance>>,
    pub(crate) qualities: BTreeMap<Arc<str>, f64>,
}

impl FakeState {
    /// Returns the share of good answers of a version now.
    pub(crate) fn quality(&self, version: &str) -> f64 {
        let faults = self.faults.get();
        let declared = || {
            self.qualities
                .get(version)
                .copied()
                .unwrap_or(UNKNOWN_QUALITY)
        };
        faults
            .quality
            .get(version)
            .copied()
            .unwrap_or_else(declared)
    }

    /// Replaces the entry instances in the platform's list; endpoints stay.
    pub fn set_instances(&self, list: Vec<ListedInstance>) {
        let mut held = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        held.retain(|instance| instance.name.contains('/'));
        held.extend(list);
    }
}
