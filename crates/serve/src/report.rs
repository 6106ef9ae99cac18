//! The line on a request when it ends.

use std::time::Instant;

use crate::ask::Ask;
use crate::desk::Desk;
use crate::job::Job;
use crate::journal::{Line, Outcome};

/// Writes the line on a request when it ends.
pub(crate) struct Report {
    pub(crate) received: Instant,
    pub(crate) config: u64,
    pub(crate) view: u64,
    pub(crate) store_away: bool,
}

impl Report {
    pub(crate) fn write(&self, desk: &Desk, job: Option<&Job>, outcome: &Outcome) {
        self.write_ask(desk, job.map(|job| &job.ask), job, outcome);
    }

    pub(crate) fn write_ask(
        &self,
        desk: &Desk,
        ask: Option<&Ask>,
        job: Option<&Job>,
        outcome: &Outcome,
    ) {
        let elapsed = self.received.elapsed();
        let route = job.map(|job| &job.route.name);
        let endpoint = job.and_then(|job| job.last_endpoint.as_ref());
        let line = Line {
            ask,
            route,
            endpoint: endpoint.map(|endpoint| &*endpoint.id),
            version: endpoint.map(|endpoint| &*endpoint.version),
            size: job.and_then(|job| job.size),
            confidence: job.and_then(|job| job.confidence),
            sends: job.map_or(0, |job| job.sends),
            config: self.config,
            view: self.view,
            store_away: self.store_away,
            elapsed,
        };
        desk.counters.write(&line, outcome);
        desk.observer.ended(route, outcome, elapsed);
    }
}
