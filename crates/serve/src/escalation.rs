//! Choice of the model size for each run of a request.

use policy::{Cascade, CurrentAnswer, SizeEstimates, SizeOutlook};
use route::RetrySafety;

use crate::active_request::ActiveRequest;
use crate::baseline::BaselineKey;
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
        let sizes = self.size_outlooks(context);
        let cascade = self.cascade(context, 0.5);
        let first = cascade.first_size(&sizes, self.objective_left_ms(), runs);
        let is_trial = runs > 1 && SizeEstimates::tries_smaller(first, fastrand::f64());
        Some(if is_trial { 0 } else { first })
    }

    /// Returns the size to run after an answer of the current one, or `None` to keep the answer.
    pub(crate) fn choose_next_size(&self, context: &RequestContext) -> Option<usize> {
        let size = self.size?;
        let runs_left = self.route.max_attempts.saturating_sub(self.runs + 1);
        if runs_left == 0 || !self.may_escalate(context) {
            return None;
        }
        let answer = CurrentAnswer {
            size,
            confidence: self.confidence,
            objective_left_ms: self.objective_left_ms(),
            end_chance: 1.0,
        };
        let sizes = self.size_outlooks(context);
        let cascade = self.cascade(context, fastrand::f64());
        let next = cascade.next_size(&sizes, &answer, runs_left)?;
        if runs_left == 1 {
            return Some(next);
        }
        let wait_share = context.baselines.wait_share(&self.service);
        let trial = context
            .size_book
            .with(&self.service, &self.route.model_sizes, |estimates| {
                estimates.trial_size(size, wait_share, fastrand::f64())
            });
        Some(trial.unwrap_or(next))
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

    fn cascade(&self, context: &RequestContext, uniform: f64) -> Cascade {
        let wait_share = context.baselines.wait_share(&self.service);
        Cascade::new(context.settings.largest_run_cost, wait_share, uniform)
    }

    fn size_outlooks(&self, context: &RequestContext) -> Vec<SizeOutlook> {
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
                run: None,
            });
        }
        sizes
    }

    fn may_escalate(&self, context: &RequestContext) -> bool {
        self.route.retry_safety != RetrySafety::NonIdempotentStream
            && context.retry_budget_used(&self.service) < MAX_ESCALATION_BUDGET_SHARE
    }

    fn objective_left_ms(&self) -> f64 {
        let elapsed_ms = self.inbound.received_at.elapsed().as_millis() as f64;
        self.route.objective_ms as f64 - elapsed_ms
    }
}
