//! Estimates of the sizes of each model.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use policy::SizeEstimates;

/// The sizes of one model at one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelKey {
    service: Arc<str>,
    sizes: Vec<Arc<str>>,
}

/// Estimates of the sizes of each model.
#[derive(Debug, Default)]
pub(crate) struct SizeBook {
    by_model: RefCell<HashMap<ModelKey, SizeEstimates>>,
}

impl SizeBook {
    /// Reads or updates the estimates of a model, which are created if there are none yet.
    pub(crate) fn with<T>(
        &self,
        service: &Arc<str>,
        sizes: &[Arc<str>],
        act: impl FnOnce(&mut SizeEstimates) -> T,
    ) -> T {
        let key = ModelKey {
            service: service.clone(),
            sizes: sizes.to_vec(),
        };
        let mut models = self.by_model.borrow_mut();
        let estimates = models.entry(key);
        act(estimates.or_insert_with(|| SizeEstimates::new(sizes.len())))
    }
}
