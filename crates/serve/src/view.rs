//! What is believed of the world, as of one moment.

use std::collections::HashMap;
use std::sync::Arc;

use route::Table;

use crate::endpoint::Endpoint;

/// How far the traffic of a service has moved to another version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutStage {
    /// This share of all conversations tries the new version.
    Trial(f64),
    /// This share of all conversations goes to the new version.
    Ramping(f64),
    /// The new version takes everything.
    Done,
    /// The new version takes nothing.
    Withdrawn,
}

/// A roll-out as requests see it.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// The version that traffic moves to.
    pub target: Arc<str>,
    /// How far it has moved.
    pub stage: RolloutStage,
}

/// The endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// Those that take new work.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// The roll-out, if there is one.
    pub rollout: Option<RolloutView>,
}

/// Everything that requests read.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Grows with each view.
    pub generation: u64,
    /// The configuration, or none while it is not known.
    pub table: Option<Arc<Table>>,
    /// The store's revision of the configuration.
    pub table_revision: u64,
    /// The endpoints by service.
    pub pools: HashMap<Arc<str>, Arc<Pool>>,
    /// How many instances share the load.
    pub instance_count: usize,
    /// Whether this instance takes new callers.
    pub accepting: bool,
    /// Whether the store did not answer this instance when the view was made.
    pub store_unreachable: bool,
}

impl Pool {
    /// Returns the endpoints that a request may run on.
    ///
    /// `unit` is a number below 1 that is the same for all requests of a conversation. Shares only
    /// grow, so that a conversation moves to the new version once and never back.
    pub fn eligible(&self, unit: f64) -> Vec<&Arc<Endpoint>> {
        let Some(rollout) = &self.rollout else {
            return self.endpoints.iter().collect();
        };
        let share = match rollout.stage {
            RolloutStage::Trial(share) | RolloutStage::Ramping(share) => share,
            RolloutStage::Done => 1.0,
            RolloutStage::Withdrawn => 0.0,
        };
        let on_target = unit < share;
        let mut chosen = self.of(&rollout.target, on_target);
        if on_target {
            // A share of the traffic goes to the same share of the new endpoints, so that each
            // bears what it will bear in the end: some versions fail only under load.
            let bearing = (chosen.len() as f64 * share).ceil() as usize;
            chosen.truncate(bearing);
        }
        if !chosen.is_empty() || !on_target {
            return chosen;
        }
        // The new version has not come up yet, or is gone.
        self.of(&rollout.target, false)
    }

    fn of(&self, version: &Arc<str>, equal: bool) -> Vec<&Arc<Endpoint>> {
        let matches = |endpoint: &&Arc<Endpoint>| (endpoint.version == *version) == equal;
        self.endpoints.iter().filter(matches).collect()
    }
}
