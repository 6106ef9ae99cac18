//! The learned state of a policy in a workspace.

use std::sync::Arc;

use policy::{Observation, Price, QualityEstimates};

use crate::state::view::PolicyState;

/// The initial price of quality, the typical cost of a request.
const START_PRICE_MICROS: f64 = 500.0;

/// The quality estimates and price of a policy in a workspace.
pub(super) struct PolicyLearner {
    estimates: QualityEstimates,
    published: Option<Arc<QualityEstimates>>,
    /// The price that steers the mean quality to the target.
    pub(super) price: Price,
}

impl PolicyLearner {
    /// Starts without observations.
    pub(super) fn new() -> PolicyLearner {
        PolicyLearner {
            estimates: QualityEstimates::default(),
            published: None,
            price: Price::new(START_PRICE_MICROS),
        }
    }

    /// Returns the state for the published view.
    pub(super) fn view(&mut self) -> PolicyState {
        let estimates = self
            .published
            .get_or_insert_with(|| Arc::new(self.estimates.clone()))
            .clone();
        PolicyState {
            estimates,
            quality_price_micros: self.price.micros(),
        }
    }

    /// Records an answer or a rating.
    pub(super) fn record(&mut self, observation: &Observation) {
        self.estimates.record(observation);
        self.published = None;
    }
}
