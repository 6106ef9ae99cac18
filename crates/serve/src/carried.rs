//! Requests that this instance carries for a peer.

use std::cell::Cell;
use std::rc::Rc;

use kernel::{Failure, Reason};
use relay::{Handler, Limits, LocalFuture, Request, Response};

use crate::active_request::ActiveRequest;
use crate::carry_message::{CarryOrder, CarryReport, MAX_FIELD_BYTES};
use crate::outcome::Counters;
use crate::pipeline::Pipeline;

/// The most requests that are carried at a time. Each takes two connections, as the instance's own do.
const MAX_CARRIED: usize = 256;

/// The most at which those are taken that are not the most urgent.
const MAX_LESS_URGENT: usize = 192;

/// Retry-after of a request that was turned down for too many others, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 120;

/// The number of requests that are being carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedCount {
    count: Rc<Cell<usize>>,
}

/// The carrying of one request, which ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Carried {
    pub(crate) order: CarryOrder,
    count: Rc<Cell<usize>>,
}

impl CarriedCount {
    /// Takes on a request of a route with this priority, where 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Fails if too many are carried already; the request did not run then.
    pub(crate) fn take_on(&self, order: CarryOrder, priority: u8) -> Result<Carried, Failure> {
        let most = if priority == 0 {
            MAX_CARRIED
        } else {
            MAX_LESS_URGENT
        };
        if self.count.get() >= most {
            let detail = format!("this instance carries {} requests", self.count.get());
            let failure = Failure::not_run(Reason::Overloaded, detail);
            return Err(failure.retry_after_ms(FULL_RETRY_AFTER_MS));
        }
        self.count.set(self.count.get() + 1);
        Ok(Carried {
            order,
            count: self.count.clone(),
        })
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl ActiveRequest {
    /// Returns what became of the request so far, for the peer that handed it over.
    pub(crate) fn report(&self) -> CarryReport {
        let granted = self.carried.as_ref().map(|carried| carried.order.attempts);
        let max_attempts = self.route.max_attempts;
        let not_granted = max_attempts - max_attempts.min(granted.unwrap_or(max_attempts));
        CarryReport {
            sends: self.sends,
            runs: self.runs - not_granted,
            size: self.size,
            failure: None,
        }
    }

    /// Adds the report to an endpoint's response if a peer handed the request over.
    pub(crate) fn add_report(&self, response: &mut Response) {
        if self.carried.is_some() {
            self.report().set_in(&mut response.headers);
        }
    }
}

/// Handles the requests that peers hand over.
pub struct CarryHandler {
    pipeline: Rc<Pipeline>,
}

impl CarryHandler {
    /// Creates a handler whose requests take the same way as those of callers.
    pub fn new(pipeline: Rc<Pipeline>) -> CarryHandler {
        CarryHandler { pipeline }
    }

    async fn serve(&self, mut inbound: Request) -> Response {
        let Some(order) = CarryOrder::take_from(&mut inbound.head.headers) else {
            tracing::warn!(peer = %inbound.peer_addr, "carry: request without a valid order");
            return Response::new(Reason::BadRequest.status());
        };
        Counters::add(&self.pipeline.counters().carried);
        self.pipeline.serve(inbound, Some(order)).await
    }
}

impl Handler for CarryHandler {
    fn handle(&self, inbound: Request) -> LocalFuture<'_, Response> {
        Box::pin(self.serve(inbound))
    }

    fn limits(&self) -> Limits {
        let limits = self.pipeline.limits();
        Limits {
            max_head_bytes: limits.max_head_bytes + MAX_FIELD_BYTES,
            ..limits
        }
    }
}
