//! Whether this instance sends to cold endpoints.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use kernel::Clock;
use limits::{ColdLimit, HeardFleet, MAX_COLD_MS};
use route::ColdStart;

use crate::endpoint::Endpoint;
use crate::endpoint_cold::{ColdRules, SightAges};
use crate::settings::Settings;
use crate::view::View;

/// What this instance knows of the fleet that shares cold endpoints.
pub(crate) struct ColdSenders {
    overage: f64,
    slack: f64,
    heard: RefCell<HeardFleet>,
    clock: Arc<dyn Clock>,
    /// When this instance first knew endpoints, in milliseconds.
    listed_ms: Cell<Option<u64>>,
}

impl ColdSenders {
    pub(crate) fn new(settings: &Settings, clock: &Arc<dyn Clock>) -> ColdSenders {
        let heard = HeardFleet::new(settings.configured_instances, clock.mono_ms());
        ColdSenders {
            overage: settings.cold_overage,
            slack: settings.cold_slack,
            heard: RefCell::new(heard),
            clock: clock.clone(),
            listed_ms: Cell::new(None),
        }
    }

    /// Records the instances and endpoints of a view, and returns whether this instance may rank itself.
    pub(crate) fn may_rank(&self, view: &View, now_ms: u64) -> bool {
        if self.listed_ms.get().is_none() && !view.pools.is_empty() {
            self.listed_ms.set(Some(now_ms));
        }
        let heard = view.members.len().max(1);
        self.heard.borrow_mut().may_rank(now_ms, heard)
    }

    /// Returns how the cold endpoints of a service are treated.
    pub(crate) fn rules(
        &self,
        endpoint: &Endpoint,
        cold: &ColdStart,
        view: &View,
        may_rank: bool,
    ) -> ColdRules {
        let limit = ColdLimit {
            per_s: cold.per_s,
            overage: self.overage,
            slack: self.slack,
        };
        let division = limit.divide(view.instance_count);
        let rank = may_rank.then(|| view.rank_for(&endpoint.id));
        ColdRules {
            start_ms: cold.start_ms.min(MAX_COLD_MS),
            division,
            is_sender: rank.is_some_and(|rank| rank < division.senders),
            is_checker: rank.is_some_and(|rank| rank < division.checkers),
        }
    }

    /// Returns the ages by which the first sight of a run is judged.
    pub(crate) fn ages(&self, endpoint: &Endpoint, now_ms: u64) -> SightAges {
        let wall_ms = self.clock.wall_ms();
        let listed_ms = self.listed_ms.get().unwrap_or(now_ms);
        SightAges {
            run_ms: endpoint
                .started_ms
                .map(|started_ms| wall_ms.saturating_sub(started_ms)),
            instance_ms: now_ms.saturating_sub(listed_ms),
        }
    }
}
