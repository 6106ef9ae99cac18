//! What times are usual at a service, and how pressed it is.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

/// The weight of the latest time in the running means.
const WEIGHT: f64 = 0.05;

/// The part of the objective that first events may take before the service counts as pressed.
const EASY_SHARE: f64 = 0.35;

/// The part of the objective at which it counts as fully pressed.
const PRESSED_SHARE: f64 = 0.9;

/// What a time is compared with.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Kind {
    service: Arc<str>,
    size: Option<usize>,
}

/// Running means of times, by service and size of the model.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    usual: RefCell<HashMap<Kind, f64>>,
    first_shares: RefCell<HashMap<Arc<str>, f64>>,
}

impl Paces {
    /// Notes a time and returns it relative to what was usual.
    pub(crate) fn note(&self, service: &Arc<str>, size: Option<usize>, time: f64) -> f64 {
        let kind = Kind {
            service: service.clone(),
            size,
        };
        let mut usual = self.usual.borrow_mut();
        let mean = usual.entry(kind).or_insert(time);
        let ratio = if *mean > 0.0 { time / *mean } else { 1.0 };
        *mean += WEIGHT * (time - *mean);
        ratio
    }

    /// Notes the part of its objective that a first event of the largest model took.
    pub(crate) fn note_first(&self, service: &Arc<str>, share: f64) {
        let mut shares = self.first_shares.borrow_mut();
        let mean = shares.entry(service.clone()).or_insert(share);
        *mean += WEIGHT * (share.min(2.0) - *mean);
    }

    /// Returns how pressed a service is, from 0 to 1.
    pub(crate) fn pressure(&self, service: &Arc<str>) -> f64 {
        let shares = self.first_shares.borrow();
        let share = shares.get(service).copied().unwrap_or_default();
        ((share - EASY_SHARE) / (PRESSED_SHARE - EASY_SHARE)).clamp(0.0, 1.0)
    }
}
