//! Choice of the model size for each run of a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use policy::{Cascade, CurrentAnswer, SizeEstimates, SizeOutlook};
use route::RetrySafety;

use crate::active_request::ActiveRequest;
use crate::baseline::BaselineKey;
use crate::request_context::RequestContext;

/// Share of the retry budget that escalations may use. The rest is kept for failures.
const MAX_ESCALATION_BUDGET_SHARE: f64 = 0.75;

/// Estimates of the model sizes of each service.
#[derive(Debug, Default)]
pub(crate) struct SizeBook {
    by_service: RefCell<HashMap<Arc<str>, SizeEstimates>>,
}

impl SizeBook {
    fn good_shares(&self, service: &Arc<str>, count: usize) -> Vec<f64> {
        let mut services = self.by_service.borrow_mut();
        let estimates = estimates_of(&mut services, service, count);
        estimates.good_shares()
    }

    fn trial_size(&self, service: &Arc<str>, after: usize, wait_share: f64) -> Option<usize> {
        let services = self.by_service.borrow();
        let estimates = services.get(service)?;
        estimates.trial_size(after, wait_share, fastrand::f64())
    }

    fn record(
        &self,
        service: &Arc<str>,
        count: usize,
        unsure_before: Option<usize>,
        size: usize,
        confidence: u8,
    ) {
        let mut services = self.by_service.borrow_mut();
        let estimates = estimates_of(&mut services, service, count);
        estimates.record(unsure_before, size, confidence);
    }
}

/// Returns the estimates of a service, which start anew if the number of its sizes has changed.
fn estimates_of<'a>(
    services: &'a mut HashMap<Arc<str>, SizeEstimates>,
    service: &Arc<str>,
    count: usize,
) -> &'a mut SizeEstimates {
    let estimates = services
        .entry(service.clone())
        .or_insert_with(|| SizeEstimates::new(count));
    if estimates.count() != count {
        *estimates = SizeEstimates::new(count);
    }
    estimates
}

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
        Some(
            self.cascade(context, 0.5)
                .first_size(&sizes, self.objective_left_ms(), runs),
        )
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
            .trial_size(&self.service, size, wait_share);
        Some(trial.unwrap_or(next))
    }

    /// Records the confidence of the current size in its answer.
    pub(crate) fn record_confidence(&self, context: &RequestContext) {
        let (Some(size), Some(confidence)) = (self.size, self.confidence) else {
            return;
        };
        let count = self.route.model_sizes.len();
        context
            .size_book
            .record(&self.service, count, self.unsure_size, size, confidence);
    }

    fn cascade(&self, context: &RequestContext, uniform: f64) -> Cascade {
        let wait_share = context.baselines.wait_share(&self.service);
        Cascade::new(context.settings.largest_run_cost, wait_share, uniform)
    }

    fn size_outlooks(&self, context: &RequestContext) -> Vec<SizeOutlook> {
        let count = self.route.model_sizes.len();
        let good_shares = context.size_book.good_shares(&self.service, count);
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
