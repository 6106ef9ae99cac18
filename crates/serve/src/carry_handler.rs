//! Requests that peers hand over to this instance.

use std::rc::Rc;

use kernel::Reason;
use relay::{Handler, Limits, LocalFuture, Request, Response};

use crate::active_request::ActiveRequest;
use crate::carry_message::{CarryOrder, CarryReport, MAX_FIELD_BYTES};
use crate::life_question;
use crate::outcome::Counters;
use crate::pipeline::Pipeline;

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
            if let Some(answer) = life_question::answer(&self.pipeline.context, &mut inbound).await
            {
                return answer;
            }
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
