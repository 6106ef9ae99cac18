//! What the result of a call says about its endpoint and its version.

use std::io;
use std::time::{Duration, Instant};

use crate::active_request::ActiveRequest;
use crate::endpoint::Endpoint;
use crate::endpoint_protocol::Reply;
use crate::endpoint_state::EndpointState;
use crate::request_context::RequestContext;
use crate::version_counters::{CallOutcome, Measured};

const MS_PER_S: f64 = 1_000.0;

/// Returns whether an error shows that the other side ended or closed the connection.
pub(crate) fn is_broken_connection(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::UnexpectedEof
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::BrokenPipe
    )
}

/// Records what an endpoint says in a response of the requests that it still wants.
pub(crate) fn record_wishes(
    endpoint: &Endpoint,
    state: &EndpointState,
    reply: &Reply,
    now_ms: u64,
) {
    if reply.tells_leaving() && state.record_leaving() {
        tracing::info!(id = &*endpoint.id, "endpoint: leaves, by its own response");
    }
    let limit_per_s = reply.refusal_limit_per_s;
    if reply.tells_refusal_limit() && state.set_refusal_limit(limit_per_s) {
        tracing::info!(id = &*endpoint.id, limit_per_s, "endpoint: refusal limit");
    }
    if let Some(pause_ms) = reply.pause_ms {
        state.record_wanted_pause(pause_ms, now_ms);
        tracing::info!(id = &*endpoint.id, pause_ms, "endpoint: wants no requests");
    }
}

/// Records that a connection opened at a time, in milliseconds, was not established, and logs that the
/// endpoint is out of reach.
pub(crate) fn record_unreachable(
    endpoint: &Endpoint,
    state: &EndpointState,
    opened_ms: u64,
    now_ms: u64,
) {
    if state.record_unreachable(opened_ms, now_ms) {
        let service = &*endpoint.service;
        tracing::info!(id = &*endpoint.id, service, "endpoint: out of reach");
    }
}

/// Records that a connection opened at a time, in milliseconds, was established.
pub(crate) fn record_connected(endpoint: &Endpoint, state: &EndpointState, opened_ms: u64) {
    if state.record_connected(opened_ms) {
        let service = &*endpoint.service;
        tracing::info!(id = &*endpoint.id, service, "endpoint: in reach again");
    }
}

impl ActiveRequest {
    pub(crate) fn record_call_outcome(
        &self,
        context: &RequestContext,
        endpoint: &Endpoint,
        outcome: CallOutcome,
        measured: Option<Measured>,
    ) {
        context.version_counters.record(
            &endpoint.service,
            &endpoint.version,
            &self.route.name,
            outcome,
            measured,
        );
    }

    /// Records that a call got no response in time. It shows a slow version only if the endpoint
    /// responded to others meanwhile.
    pub(crate) fn record_given_up(
        &self,
        context: &RequestContext,
        endpoint: &Endpoint,
        endpoint_state: &EndpointState,
        elapsed: Duration,
    ) {
        let sent_ms = context.now_ms().saturating_sub(elapsed.as_millis() as u64);
        if endpoint_state.last_received_ms() <= sent_ms {
            return;
        }
        let is_stream = self.route.retry_safety.is_stream();
        let measured = Measured::AnswerMs(elapsed.as_secs_f64() * MS_PER_S);
        let measured = (!is_stream).then_some(measured);
        self.record_call_outcome(context, endpoint, CallOutcome::Slow, measured);
    }

    /// Records that a connection broke, or that the endpoint refused one, and logs the answers that it
    /// began shortly before.
    pub(crate) fn record_broken(
        &mut self,
        context: &RequestContext,
        endpoint: &Endpoint,
        endpoint_state: &EndpointState,
        err: &io::Error,
    ) {
        let is_recorded = std::mem::take(&mut self.end_is_recorded);
        if !is_broken_connection(err) {
            return;
        }
        if context.view().is_replaced(endpoint) {
            self.replaced_runs += 1;
        }
        if is_recorded {
            return;
        }
        self.record_end_of_endpoint(endpoint, endpoint_state, context.now_ms());
    }

    /// Records that an endpoint may have ended at a time, in milliseconds, and logs the answers that it began
    /// shortly before. A later sign of life takes this back.
    pub(crate) fn record_end_of_endpoint(
        &mut self,
        endpoint: &Endpoint,
        endpoint_state: &EndpointState,
        ended_ms: u64,
    ) {
        for start in endpoint_state.record_broken(ended_ms) {
            if self.key.is_same_request(&start.key) {
                self.crashes += 1;
            }
            tracing::info!(
                id = &*self.info.id,
                endpoint = &*endpoint.id,
                version = &*endpoint.version,
                content = ?start.key,
                running_ms = ended_ms.saturating_sub(start.began_ms),
                "endpoint: broke after a start"
            );
        }
    }

    /// Records that the connection broke before the answer began: the endpoint may have ended under the
    /// request.
    pub(crate) fn record_broken_before_start(
        &mut self,
        context: &RequestContext,
        endpoint_state: &EndpointState,
        err: &io::Error,
    ) {
        if is_broken_connection(err) {
            self.crashes += 1;
            endpoint_state.record_broken_before_start(&self.key, context.now_ms());
        }
    }

    /// Logs a send that brought no answer, with the time that it took.
    pub(crate) fn log_send(
        &self,
        endpoint: &Endpoint,
        result: &str,
        detail: &str,
        sent_at: Instant,
    ) {
        tracing::info!(
            id = &*self.info.id,
            content = ?self.key,
            elapsed_ms = sent_at.elapsed().as_millis() as u64,
            endpoint = &*endpoint.id,
            version = &*endpoint.version,
            result,
            detail,
            sends = self.sends,
            left_ms = self.remaining().as_millis() as u64,
            "send: no answer"
        );
    }
}
