//! The wait of a request that broke off for a retry, while the budget of its service is used up.
//!
//! A request that has not run is refused instead: its caller may send it again, which costs no retry.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use kernel::Verdict;
use limits::RetryTicket;

use crate::active_request::ActiveRequest;
use crate::outcome::Counters;
use crate::request_context::RequestContext;

/// How often the budget is checked: a small part of the gaps that streams may have.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the caller's patience, and of the time left, that a request waits. The rest is for the
/// retry itself.
const MAX_WAIT_PART: f64 = 0.5;

/// A place in the queue for retries, which is left when this is dropped.
struct QueuePlace<'a> {
    context: &'a RequestContext,
    service: &'a Arc<str>,
    ticket: RetryTicket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.context
            .with_retry_queue(self.service, |queue| queue.leave(self.ticket));
    }
}

impl ActiveRequest {
    /// Waits until the budget allows a retry, if it is used up and the request may have run. Without one
    /// in time, the request fails as it would have at once.
    pub(crate) async fn await_retry(&self, context: &Rc<RequestContext>) {
        let max_wait = Duration::from_millis(context.settings.max_retry_wait_ms);
        let is_begun = self.sends > 0 && self.verdict != Verdict::NotRun;
        if max_wait.is_zero() || !is_begun || self.is_moving || self.carried.is_some() {
            return;
        }
        if context.can_retry(&self.service) && !context.has_waiting_retries(&self.service) {
            return;
        }
        let patience = Duration::from_millis(self.caller_patience_ms() as u64);
        let wait = patience.min(self.remaining()).mul_f64(MAX_WAIT_PART);
        let began = Instant::now();
        let until = began + wait.min(max_wait);
        let gives_up_ms = context.now_ms() + wait.min(max_wait).as_millis() as u64;
        let priority = self.priority();
        let place = QueuePlace {
            context,
            service: &self.service,
            ticket: context
                .with_retry_queue(&self.service, |queue| queue.join(priority, gives_up_ms)),
        };
        let mut is_granted = false;
        while !is_granted && Instant::now() < until {
            Timer::after(CHECK_INTERVAL).await;
            let is_next =
                context.with_retry_queue(&self.service, |queue| queue.is_next(place.ticket));
            is_granted = is_next && context.can_retry(&self.service);
        }
        if is_granted {
            Counters::add(&context.counters.awaited_retries);
        }
        tracing::info!(
            id = &*self.info.id,
            service = &*self.service,
            priority,
            waited_ms = began.elapsed().as_millis() as u64,
            is_granted,
            "retry: waited for the budget"
        );
    }
}
