//! State shared by the fake platform and endpoints of one deployment.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use store::ListedInstance;

use crate::call_log::{OrderLog, RunLog};
use crate::faults::FaultInjector;
use crate::objects::ObjectStore;
use crate::ratings::Ratings;

/// Share of good answers of a version that has no declaration.
const UNDECLARED_QUALITY: f64 = 0.5;

/// State shared by the fake platform and endpoints of one deployment.
pub struct FakeState {
    /// Contents of the platform's object API.
    pub objects: ObjectStore,
    /// Faults of the platform and the endpoints.
    pub faults: FaultInjector,
    /// Calls that endpoints executed.
    pub runs: RunLog,
    /// Orders that endpoints received.
    pub orders: OrderLog,
    /// Time per generated token or service call, in milliseconds.
    pub token_ms: u64,
    pub(crate) ratings: Ratings,
    pub(crate) instances: Mutex<Vec<ListedInstance>>,
    pub(crate) qualities: BTreeMap<Arc<str>, f64>,
}

impl FakeState {
    /// Returns the share of good answers of a version; a fault overrides the declaration.
    pub(crate) fn quality(&self, version: &str) -> f64 {
        let faults = self.faults.get();
        let declared = || {
            self.qualities
                .get(version)
                .copied()
                .unwrap_or(UNDECLARED_QUALITY)
        };
        faults
            .quality
            .get(version)
            .copied()
            .unwrap_or_else(declared)
    }

    /// Replaces the entry instances in the platform's instance list; endpoints stay listed.
    pub fn set_instances(&self, list: Vec<ListedInstance>) {
        // Names of endpoints have the form `pool/endpoint`.
        let mut listed = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        listed.retain(|instance| instance.name.contains('/'));
        listed.extend(list);
    }
}
