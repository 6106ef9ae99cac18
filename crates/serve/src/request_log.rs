//! Log line of a request when it ends.

use std::time::Instant;

use crate::active_request::ActiveRequest;
use crate::outcome::{LogRecord, Outcome, StreamRecord};
use crate::request::RequestInfo;
use crate::request_context::RequestContext;

/// Writes the log line of a request when it ends.
pub(crate) struct RequestLog {
    pub(crate) received: Instant,
    /// Version of the configuration and generation of the view that applied.
    pub(crate) config: u64,
    pub(crate) view: u64,
    pub(crate) store_unreachable: bool,
    /// How far a stream got.
    pub(crate) stream: Option<StreamRecord>,
}

impl RequestLog {
    pub(crate) fn write(
        &self,
        context: &RequestContext,
        request: Option<&ActiveRequest>,
        outcome: &Outcome,
    ) {
        self.write_request(
            context,
            request.map(|request| &request.info),
            request,
            outcome,
        );
    }

    pub(crate) fn write_request(
        &self,
        context: &RequestContext,
        info: Option<&RequestInfo>,
        request: Option<&ActiveRequest>,
        outcome: &Outcome,
    ) {
        let elapsed = self.received.elapsed();
        let route = request.map(|request| &request.route.name);
        let endpoint = request.and_then(|request| request.last_endpoint.as_ref());
        let carried = request.and_then(|request| request.carried.as_ref());
        let record = LogRecord {
            info,
            route,
            endpoint: endpoint.map(|endpoint| &*endpoint.id),
            version: endpoint.map(|endpoint| &*endpoint.version),
            size: request.and_then(|request| request.size),
            confidence: request.and_then(|request| request.confidence),
            sends: request.map_or(0, |request| request.sends),
            stream: self.stream,
            carried_by: request.and_then(|request| request.carried_by.as_deref()),
            carried_for: carried.map(|carried| &*carried.order.home),
            config: self.config,
            view: self.view,
            store_unreachable: self.store_unreachable,
            elapsed,
        };
        context.counters.record(&record, outcome);
        context.observer.request_ended(route, outcome, elapsed);
    }
}
