//! Whether the runs of a request end by its deadline, and what is done if not.
//!
//! It is meant for loads in which a slow endpoint writes too few events before the deadline, which
//! is known long before. Where neither lengths nor paces are known, nothing is decided here.

use kernel::{Failure, Reason};
use policy::{RunOutlook, is_hopeless};

use crate::active_request::ActiveRequest;
use crate::baseline::BaselineKey;
use crate::endpoint_state::EndpointState;
use crate::evacuation::eligible;
use crate::late_runs::LateRunDecision;
use crate::outcome::Counters;
use crate::request_context::RequestContext;
use crate::run_book::{LengthKey, NamedTokens};

/// Retry-after of a request that cannot end in time, in milliseconds: a changed pace is learned in
/// about this time.
const HOPELESS_RETRY_AFTER_MS: u64 = 1_000;

/// Returns how slow an endpoint is relative to the others, where 1 is the usual.
pub(crate) fn endpoint_ratio(state: &EndpointState, now_ms: u64) -> f64 {
    let ratio = state.time_ratio(now_ms);
    if ratio == 1.0 {
        return state.latency_ratio(now_ms);
    }
    ratio
}

impl ActiveRequest {
    /// Returns what is expected of a run of a size from its first event on, at an endpoint of
    /// ordinary speed, after `written` events; `None` while the length or the pace is not known.
    pub(crate) fn run_outlook(
        &self,
        context: &RequestContext,
        size: Option<usize>,
        written: f64,
    ) -> Option<RunOutlook> {
        let key = BaselineKey {
            service: self.service.clone(),
            size,
        };
        let pace = context.run_book.pace(&key, context.now_ms())?;
        let tokens = NamedTokens {
            hint: self.info.length_hint,
            max: self.info.token_usage.max_answer_tokens,
        };
        let length = context.run_book.length(&self.length_key(size), tokens)?;
        Some(RunOutlook {
            event_ms: pace.event_ms,
            pace_spread: pace.spread,
            length,
            written,
        })
    }

    /// Like [`ActiveRequest::run_outlook`], but `None` also if the settings do not weigh completion.
    pub(crate) fn weighed_outlook(
        &self,
        context: &RequestContext,
        size: Option<usize>,
        written: f64,
    ) -> Option<RunOutlook> {
        if !context.settings.completion {
            return None;
        }
        self.run_outlook(context, size, written)
    }

    pub(crate) fn length_key(&self, size: Option<usize>) -> LengthKey {
        let workspace = self.workspace.as_ref();
        LengthKey {
            route: self.route.name.clone(),
            size,
            workspace: workspace.map(|workspace| workspace.name.clone()),
        }
    }

    /// Returns the time of a run of the request's size, relative to the largest size.
    pub(crate) fn relative_time(&self, context: &RequestContext) -> f64 {
        let Some(size) = self.size else {
            return 1.0;
        };
        let count = self.route.model_sizes.len();
        let times = context.baselines.relative_times(&self.service, count);
        times.get(size).copied().unwrap_or(1.0)
    }

    /// Returns the events that the caller has from an earlier request.
    pub(crate) fn events_before(&self) -> f64 {
        self.info.resume_after.unwrap_or_default() as f64
    }

    pub(crate) fn deadline_left_ms(&self) -> f64 {
        self.remaining().as_millis() as f64
    }

    /// Checks that a run of the fastest size on the fastest endpoint may end by the deadline.
    ///
    /// Queueing is left out, as the wait may be over when the request is placed.
    ///
    /// # Errors
    ///
    /// Fails if no run can end in time; the request did not run then.
    pub(crate) fn check_end_in_time(&self, context: &RequestContext) -> Result<(), Failure> {
        if !context.settings.completion {
            return Ok(());
        }
        let sizes = self.permitted_sizes();
        let ratio = self.fastest_ratio(context);
        let left_ms = self.deadline_left_ms();
        let mut best_chance: f64 = 0.0;
        for size in sizes {
            let key = BaselineKey {
                service: self.service.clone(),
                size,
            };
            let pace = context.run_book.pace(&key, context.now_ms());
            let run = self.run_outlook(context, size, self.events_before());
            let Some(run) = run.filter(|_| pace.is_some_and(|pace| pace.is_fresh)) else {
                return Ok(());
            };
            let reading_ms = context.baselines.reading_ms(&key, self.info.new_tokens());
            let chance = run.at_ratio(ratio).end_chance(left_ms - reading_ms * ratio);
            best_chance = best_chance.max(chance);
        }
        if !is_hopeless(best_chance) {
            return Ok(());
        }
        self.log_late_run(context, LateRunDecision::Refused, best_chance, None);
        let detail = "no run of the request can end by its deadline";
        let failure = self.failure(Reason::Deadline, detail);
        Err(failure.retry_after_ms(self.retry_after_ms(HOPELESS_RETRY_AFTER_MS)))
    }

    /// Returns the sizes with which the request may begin.
    pub(crate) fn permitted_sizes(&self) -> Vec<Option<usize>> {
        if self.size.is_none() {
            return vec![None];
        }
        (0..self.route.model_sizes.len()).map(Some).collect()
    }

    /// Returns the ratio of the fastest endpoint that may run the request.
    fn fastest_ratio(&self, context: &RequestContext) -> f64 {
        let now_ms = context.now_ms();
        let view = context.view.load();
        let Some(pool) = view.pools.get(&self.service) else {
            return 1.0;
        };
        let mut fastest: f64 = 1.0;
        for endpoint in eligible(self, &view, pool, now_ms) {
            let state = context.endpoint_states.of(endpoint);
            fastest = fastest.min(endpoint_ratio(&state, now_ms));
        }
        fastest
    }

    /// Counts and logs what is done about a run that has `chance` to end by the deadline; `other` is
    /// the chance of what is done in its place.
    pub(crate) fn log_late_run(
        &self,
        context: &RequestContext,
        decision: LateRunDecision,
        chance: f64,
        other: Option<f64>,
    ) {
        let (counter, decision) = context.counters.late_runs.of(decision);
        Counters::add(counter);
        tracing::info!(
            id = &*self.info.id,
            route = &*self.route.name,
            size = self.size,
            endpoint = self.last_endpoint.as_ref().map(|endpoint| &*endpoint.id),
            decision,
            chance,
            other,
            left_ms = self.remaining().as_millis() as u64,
            length_hint = self.info.length_hint,
            "request: run cannot end in time"
        );
    }
}
