//! The rank of a request among those of its service while capacity is short.

use kernel::{Failure, Reason};
use limits::{Order, PendingRequest, Pressure};

use crate::active_request::ActiveRequest;
use crate::evacuation::eligible;
use crate::request_context::RequestContext;
use crate::view::View;

/// Retry-after of a request that cannot end before its deadline, in milliseconds: a part of a burst.
const REFUSED_RETRY_AFTER_MS: u64 = 400;

impl ActiveRequest {
    /// Determines the engine priority of the next send while capacity is short.
    ///
    /// # Errors
    ///
    /// Fails if the pool is full and the request cannot end before its deadline.
    pub(crate) fn take_rank(
        &mut self,
        context: &RequestContext,
        view: &View,
    ) -> Result<(), Failure> {
        if !context.settings.service_order || !self.route.retry_safety.is_stream() {
            return Ok(());
        }
        let workspace = self.workspace.clone();
        let workspace = workspace.as_ref().map(|workspace| &*workspace.name);
        let prefill_ms = self.reading_ms(context);
        let work_ms = prefill_ms + self.decode_ms(context);
        let fixed_ms = context.baselines.fixed_ms(&self.service);
        let request = PendingRequest {
            priority: self.priority(),
            workspace,
            work_ms,
            first_event_ms: fixed_ms + prefill_ms,
            objective_left_ms: self.objective_left_ms(),
            end_ms: fixed_ms + work_ms,
            deadline_left_ms: self.remaining().as_millis() as f64,
            has_waited: self.has_waited(),
        };
        let pressure = self.pressure(context, view);
        let service = &self.service;
        let order = context
            .service_orders
            .order(service, &request, pressure, context.now_ms());
        self.rank = None;
        match order {
            None => return Ok(()),
            Some(Order::Send(rank, reason)) => {
                self.rank = Some(rank);
                let observer = &context.observer;
                observer.request_ordered(request.priority, workspace, reason.as_str());
                tracing::debug!(
                    id = &*self.info.id,
                    rank,
                    reason = reason.as_str(),
                    "order: request"
                );
            }
            Some(Order::Refuse) => {
                context
                    .observer
                    .request_ordered(request.priority, workspace, "refused");
                let detail = "the service is full and the request cannot end before its deadline";
                let failure = self.failure(Reason::Overloaded, detail);
                return Err(failure.retry_after_ms(self.retry_after_ms(REFUSED_RETRY_AFTER_MS)));
            }
        }
        Ok(())
    }

    /// Estimates the time to write the answer, in milliseconds; 0 while its length is not known.
    fn decode_ms(&self, context: &RequestContext) -> f64 {
        let run = self.run_outlook(context, self.size, self.events_before());
        run.map_or(0.0, |run| {
            let events_left = (run.length.median_events - run.written).max(0.0);
            run.event_ms * events_left
        })
    }

    fn pressure(&self, context: &RequestContext, view: &View) -> Pressure {
        let mut load = 0.0;
        let mut slots = 0.0;
        if let Some(pool) = view.pools.get(&self.service) {
            for endpoint in eligible(self, view, pool, context.now_ms()) {
                load += context.endpoint_states.of(endpoint).load();
                slots += f64::from(endpoint.slots);
            }
        }
        Pressure {
            wait_share: context.baselines.wait_share(&self.service),
            load_share: if slots > 0.0 { load / slots } else { 0.0 },
        }
    }
}
