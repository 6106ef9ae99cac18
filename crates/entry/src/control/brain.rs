//! What a policy has learned for one workspace.

use std::sync::Arc;

use policy::{Observation, Price, QualityEstimates};

use crate::state::view::PolicyState;

/// The typical cost from which a price starts, in millionths of the currency unit.
const START_PRICE_MICROS: f64 = 500.0;

/// A policy's state for one workspace.
pub(super) struct BrainState {
    learned: QualityEstimates,
    published: Option<Arc<QualityEstimates>>,
    /// The price of quality.
    pub(super) price: Price,
}

impl BrainState {
    /// Starts with nothing learned.
    pub(super) fn new() -> BrainState {
        BrainState {
            learned: QualityEstimates::default(),
            published: None,
            price: Price::new(START_PRICE_MICROS),
        }
    }

    /// Returns what requests read.
    pub(super) fn view(&mut self) -> PolicyState {
        let learned = self
            .published
            .get_or_insert_with(|| Arc::new(self.learned.clone()))
            .clone();
        PolicyState {
            estimates: learned,
            quality_price_micros: self.price.micros(),
        }
    }

    /// Learns from one answer or rating.
    pub(super) fn note(&mut self, observation: &Observation) {
        self.learned.record(observation);
        self.published = None;
    }
}
