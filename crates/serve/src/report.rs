//! The line on a request when it ends.

use std::time::Instant;

use crate::desk::Desk;
use crate::job::Job;
use crate::outcome::{Line, Outcome};
use crate::request::RequestInfo;

/// Writes the line on a request when it ends.
pub(crate) struct Report {
    pub(crate) received: Instant,
    pub(crate) config: u64,
    pub(crate) view: u64,
    pub(crate) store_unreachable: bool,
}

impl Report {
    pub(crate) fn write(&self, desk: &Desk, job: Option<&Job>, outcome: &Outcome) {
        self.write_ask(desk, job.map(|job| &job.ask), job, outcome);
    }

    pub(crate) fn write_ask(
        &self,
        desk: &Desk,
        ask: Option<&RequestInfo>,
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
            store_unreachable: self.store_unreachable,
            elapsed,
        };
        desk.counters.write(&line, outcome);
        desk.observer.request_ended(route, outcome, elapsed);
    }
}
