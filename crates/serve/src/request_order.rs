//! The rank of a request among those of its service while capacity is short.

use kernel::{Failure, Reason, Verdict};
use limits::{Order, PendingRequest, Pressure};

use crate::active_request::ActiveRequest;
use crate::baseline::BaselineKey;
use crate::completion::endpoint_ratio;
use crate::evacuation::open_endpoints;
use crate::request_context::RequestContext;
use crate::service_orders::PoolLoad;
use crate::view::View;

/// Retry-after of a request that cannot end before its deadline, in milliseconds: a part of a burst.
const REFUSED_RETRY_AFTER_MS: u64 = 400;

impl ActiveRequest {
    /// Determines the engine priority of the next send.
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
        let pool = self.pool_load(context, view);
        // The caller of a stream that goes on has its first event.
        let has_begun = self.is_resumed || self.info.resume_after.is_some();
        let objective_left_ms = if has_begun {
            f64::INFINITY
        } else {
            self.objective_left_ms()
        };
        // It counts only for a refusal, which needs a full pool.
        let least_run_ms = if pool.load_share >= 1.0 {
            self.least_run_ms(context)
        } else {
            0.0
        };
        // One that may have run before cannot be refused as not run.
        let deadline_left_ms = if self.verdict == Verdict::NotRun {
            self.deadline_left_ms()
        } else {
            f64::INFINITY
        };
        let request = PendingRequest {
            priority: self.priority(),
            workspace,
            work_ms,
            first_event_ms: fixed_ms + prefill_ms,
            objective_left_ms,
            end_ms: fixed_ms + least_run_ms * pool.fastest_ratio,
            deadline_left_ms,
            has_waited: self.has_waited(),
        };
        let pressure = Pressure {
            wait_share: context.baselines.wait_share(&self.service),
            load_share: pool.load_share,
        };
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

    /// Estimates the least time in which a run of any permitted size may read the prompt and write the
    /// answer at an endpoint of ordinary speed, in milliseconds; 0 if no size is permitted.
    fn least_run_ms(&self, context: &RequestContext) -> f64 {
        let run_ms = |size| {
            let key = BaselineKey {
                service: self.service.clone(),
                size,
            };
            let reading_ms = context.baselines.reading_ms(&key, self.info.new_tokens());
            let pace = context.run_book.pace(&key, context.now_ms());
            let run = self.run_outlook(context, size, self.events_before());
            // A pace that no stream showed lately may have changed since.
            let run = run.filter(|_| pace.is_some_and(|pace| pace.is_fresh));
            let writing_ms = run.map_or(0.0, |run| run.least_ms());
            reading_ms + writing_ms
        };
        let runs_ms = self.permitted_sizes().into_iter().map(run_ms);
        runs_ms.reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns the load of the endpoints to which requests of the service may be sent.
    fn pool_load(&self, context: &RequestContext, view: &View) -> PoolLoad {
        let now_ms = context.now_ms();
        let sum = || {
            let mut load = 0.0;
            let mut slots = 0.0;
            let mut fastest_ratio: f64 = 1.0;
            let pool = view.pools.get(&self.service);
            let open = pool.map_or(Vec::new(), |pool| open_endpoints(view, pool, now_ms));
            for (endpoint, share) in open {
                let state = context.endpoint_states.of(endpoint);
                let is_permitted_in = self.is_permitted_in(view, &endpoint.zone);
                if !is_permitted_in || state.is_misdirected() || state.is_leaving() {
                    continue;
                }
                load += state.load() * share;
                slots += f64::from(endpoint.slots) * share;
                fastest_ratio = fastest_ratio.min(endpoint_ratio(&state, now_ms));
            }
            PoolLoad {
                load_share: if slots > 0.0 { load / slots } else { 0.0 },
                fastest_ratio,
            }
        };
        if self.homes.is_some() {
            return sum();
        }
        context.service_orders.pool_load(&self.service, now_ms, sum)
    }
}
