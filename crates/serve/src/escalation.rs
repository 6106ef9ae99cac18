//! Choice of the model size for each run of a request.

use policy::{Cascade, CurrentAnswer, SizeEstimates, SizeOutlook, is_hopeless};
use route::RetrySafety;

use crate::active_request::ActiveRequest;
use crate::baseline::BaselineKey;
use crate::completion::endpoint_ratio;
use crate::dispatch::StartedResponse;
use crate::late_runs::LateRunDecision;
use crate::request_context::RequestContext;

/// Share of the retry budget that escalations may use. The rest is kept for failures.
const MAX_ESCALATION_BUDGET_SHARE: f64 = 0.75;

impl ActiveRequest {
    /// Returns the size of the first run, or `None` if the caller named the model.
    pub(crate) fn choose_first_size(&self, context: &RequestContext) -> Option<usize> {
        if !self.info.any_size || self.route.model_sizes.is_empty() {
            return None;
        }
        let runs = if self.may_escalate(context) {
            self.route.max_attempts
        } else {
            1
        };
        let sizes = self.size_outlooks(context, self.events_before());
        let cascade = self.cascade(context, 0.5);
        let first = cascade.first_size(&sizes, self.objective_left_ms(), runs);
        let is_trial = runs > 1 && SizeEstimates::tries_smaller(first, fastrand::f64());
        Some(if is_trial { 0 } else { first })
    }

    /// Returns the size to run after an answer of the current one, or `None` to keep the answer.
    pub(crate) fn choose_next_size(
        &self,
        context: &RequestContext,
        started: &StartedResponse,
    ) -> Option<usize> {
        let size = self.size?;
        let runs_left = self.route.max_attempts.saturating_sub(self.runs + 1);
        if runs_left == 0 || !self.may_escalate(context) {
            return None;
        }
        let answer = self.current_answer(context, size, started);
        let sizes = self.size_outlooks(context, self.events_before());
        let cascade = self.cascade(context, fastrand::f64());
        let next = cascade.next_size(&sizes, &answer, runs_left);
        self.log_deadline_choice(context, &cascade, &sizes, &answer, runs_left, next);
        let next = next?;
        if runs_left == 1 {
            return Some(next);
        }
        let wait_share = context.baselines.wait_share(&self.service);
        let trial = context
            .size_book
            .with(&self.service, &self.route.model_sizes, |estimates| {
                estimates.trial_size(size, wait_share, fastrand::f64())
            });
        let left_ms = self.deadline_left_ms();
        let trial = trial.filter(|size| !is_hopeless(sizes[*size].end_chance(left_ms)));
        Some(trial.unwrap_or(next))
    }

    /// Returns the smaller size to run in place of an answer that cannot end by the deadline, or `None`
    /// to go on with it.
    pub(crate) fn choose_smaller_size(
        &self,
        context: &RequestContext,
        started: &StartedResponse,
    ) -> Option<usize> {
        let size = self.size?;
        let answer = self.current_answer(context, size, started);
        let runs_left = self.route.max_attempts.saturating_sub(self.runs + 1);
        if !is_hopeless(answer.end_chance) || runs_left == 0 || !self.may_escalate(context) {
            return None;
        }
        let sizes = self.size_outlooks(context, self.events_before());
        let cascade = self.cascade(context, 0.5);
        let smaller = cascade.smaller_size(&sizes, &answer, self.unsure_size)?;
        let other = sizes[smaller].end_chance(self.deadline_left_ms());
        let decision = LateRunDecision::Smaller;
        self.log_late_run(context, decision, answer.end_chance, Some(other));
        Some(smaller)
    }

    /// Returns the size with which a stream goes on elsewhere after `written` events: the same, or a
    /// smaller one if only that can end by the deadline.
    pub(crate) fn choose_resumed_size(
        &self,
        context: &RequestContext,
        written: f64,
    ) -> Option<usize> {
        let size = self.size?;
        let sizes = self.size_outlooks(context, written);
        let cascade = self.cascade(context, 0.5);
        let chosen = cascade.size_that_ends(&sizes, size);
        if chosen != size {
            let left_ms = self.deadline_left_ms();
            let chance = sizes[size].end_chance(left_ms);
            let other = sizes[chosen].end_chance(left_ms);
            self.log_late_run(context, LateRunDecision::Smaller, chance, Some(other));
        }
        Some(chosen)
    }

    fn current_answer(
        &self,
        context: &RequestContext,
        size: usize,
        started: &StartedResponse,
    ) -> CurrentAnswer {
        let ratio = endpoint_ratio(&started.call_guard.endpoint_state, context.now_ms());
        let run = self.weighed_outlook(context, Some(size), self.events_before());
        let left_ms = self.deadline_left_ms();
        CurrentAnswer {
            size,
            confidence: self.confidence,
            objective_left_ms: self.objective_left_ms(),
            end_chance: run.map_or(1.0, |run| run.at_ratio(ratio).end_chance(left_ms)),
        }
    }

    /// Logs that the deadline changed the size after an answer.
    fn log_deadline_choice(
        &self,
        context: &RequestContext,
        cascade: &Cascade,
        sizes: &[SizeOutlook],
        answer: &CurrentAnswer,
        runs_left: u32,
        next: Option<usize>,
    ) {
        if sizes.iter().all(|size| size.run.is_none()) {
            return;
        }
        let without = cascade.deadline_left_ms(f64::INFINITY);
        let unbounded = CurrentAnswer {
            end_chance: 1.0,
            ..*answer
        };
        let wanted = without.next_size(sizes, &unbounded, runs_left);
        let Some(wanted) = wanted.filter(|wanted| Some(*wanted) != next) else {
            return;
        };
        let left_ms = self.deadline_left_ms();
        let decision = match next {
            None => LateRunDecision::Kept,
            Some(next) if next < wanted => LateRunDecision::Smaller,
            Some(_) => return,
        };
        let other = next.map_or(answer.end_chance, |next| sizes[next].end_chance(left_ms));
        self.log_late_run(
            context,
            decision,
            sizes[wanted].end_chance(left_ms),
            Some(other),
        );
    }

    /// Records the confidence of the current size in its answer.
    pub(crate) fn record_confidence(&self, context: &RequestContext) {
        let (Some(size), Some(confidence)) = (self.size, self.confidence) else {
            return;
        };
        context
            .size_book
            .with(&self.service, &self.route.model_sizes, |estimates| {
                estimates.record(self.unsure_size, size, confidence);
            });
    }

    pub(crate) fn cascade(&self, context: &RequestContext, uniform: f64) -> Cascade {
        let wait_share = context.baselines.wait_share(&self.service);
        Cascade::new(context.settings.largest_run_cost, wait_share, uniform)
            .deadline_left_ms(self.deadline_left_ms())
    }

    /// Returns what is expected of each size, for an answer of which `written` events are there.
    pub(crate) fn size_outlooks(&self, context: &RequestContext, written: f64) -> Vec<SizeOutlook> {
        let count = self.route.model_sizes.len();
        let good_shares =
            context
                .size_book
                .with(&self.service, &self.route.model_sizes, |estimates| {
                    estimates.good_shares()
                });
        let times = context.baselines.relative_times(&self.service, count);
        let wait_ms = context.baselines.wait_share(&self.service) * self.route.objective_ms as f64;
        let mut sizes = Vec::with_capacity(count);
        for size in 0..count {
            let key = BaselineKey {
                service: self.service.clone(),
                size: Some(size),
            };
            let reading_ms = context.baselines.reading_ms(&key, self.info.new_tokens());
            sizes.push(SizeOutlook {
                good_share: good_shares[size],
                relative_time: times[size],
                first_event_ms: wait_ms + reading_ms,
                run: self.weighed_outlook(context, Some(size), written),
            });
        }
        sizes
    }

    pub(crate) fn may_escalate(&self, context: &RequestContext) -> bool {
        self.route.retry_safety != RetrySafety::NonIdempotentStream
            && context.retry_budget_used(&self.service) < MAX_ESCALATION_BUDGET_SHARE
    }

    pub(crate) fn objective_left_ms(&self) -> f64 {
        let elapsed_ms = self.inbound.received_at.elapsed().as_millis() as f64;
        self.route.objective_ms as f64 - elapsed_ms
    }
}
