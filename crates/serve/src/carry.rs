//! Handing a request over to a peer that reaches the endpoints which this instance does not.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kernel::{Failure, Reason, Verdict};
use limits::{Hops, MIN_PROBE_INTERVAL_MS, NextHop, RequestLoad};
use relay::{Exchange, RequestHead};

use crate::active_request::ActiveRequest;
use crate::call_guard::CallGuard;
use crate::carry_message::{CarryOrder, CarryReport};
use crate::dispatch::{SendResult, StartedResponse};
use crate::endpoint::Endpoint;
use crate::endpoint_protocol::{ExecutionStatus, Reply};
use crate::endpoint_state::EndpointState;
use crate::outcome::Counters;
use crate::peer_choice::{Peer, list_peers};
use crate::peer_states::CarriedCall;
use crate::reach::reach;
use crate::request_context::RequestContext;
use crate::view::View;

/// The peer makes the attempts that the timeout of an endpoint is for, and the hop adds to it.
const PEER_TIMEOUT_FACTOR: u32 = 2;

impl ActiveRequest {
    /// Returns the peer to which the request is handed over, or `None` if an endpoint is to be tried.
    ///
    /// # Errors
    ///
    /// Fails if neither this instance nor a peer reaches an endpoint.
    pub(crate) fn choose_carrier(
        &self,
        context: &RequestContext,
        view: &View,
    ) -> Result<Option<Peer>, Failure> {
        let reach = reach(self, view, context);
        let mut peers = Vec::new();
        let carriers = || {
            peers = list_peers(self, view, context);
            peers.iter().map(|peer| peer.carrier).collect()
        };
        let hops = Hops {
            is_carried: self.carried.is_some(),
            peers_asked: self.peers_asked.len(),
            unreached: self.unreached,
            unreached_ms: self.unreached_time.as_millis() as u64,
            connect_timeout_ms: context.settings.connect_timeout_ms,
        };
        match limits::next_hop(reach, hops, carriers, &mut fastrand::Rng::new()) {
            NextHop::Endpoint => Ok(None),
            NextHop::Peer(index) => Ok(Some(peers.swap_remove(index))),
            NextHop::Refuse => Err(self.out_of_reach_failure()),
        }
    }

    fn out_of_reach_failure(&self) -> Failure {
        if let Some(of_peer) = &self.peer_failure {
            // An endpoint may have run the request before the peer refused it.
            let mut failure = self.failure(of_peer.reason, &*of_peer.detail);
            failure.retry_after_ms = of_peer.retry_after_ms;
            return failure;
        }
        let detail = if self.carried.is_some() {
            "this instance reaches no endpoint of the service in time"
        } else {
            "neither this instance nor a peer reaches an endpoint of the service"
        };
        self.failure(Reason::NoEndpoint, detail)
            .retry_after_ms(self.retry_after_ms(MIN_PROBE_INTERVAL_MS))
    }

    /// Hands the request over to a peer and waits for its response.
    pub(crate) async fn send_to_peer(
        &mut self,
        context: &Rc<RequestContext>,
        view: &View,
        peer: Peer,
        resume_after: Option<u64>,
    ) -> SendResult {
        Counters::add(&context.counters.handed_over);
        self.peers_asked.push(peer.incarnation);
        self.carried_by = Some(peer.name.clone());
        let order = self.order(context, view, resume_after);
        let granted_runs = order.attempts;
        let in_flight = context.peer_states.start_call(peer.incarnation);
        let bytes = self.encode(&order);
        let sent_at = Instant::now();
        let connect_until = sent_at + Duration::from_millis(context.settings.connect_timeout_ms);
        let exchange = Exchange::start(
            peer.addr,
            connect_until.min(self.deadline),
            sent_at + self.peer_timeout(),
            &self.inbound.head.method,
            &bytes,
            &self.inbound.body,
        );
        let (mut exchange, mut head) = match exchange.await {
            Ok(started) => started,
            Err(err) => {
                if err.sent {
                    self.record_sends(context, 1);
                    self.record_runs(Verdict::MayHaveRun, granted_runs);
                }
                self.pause_peer(context, &peer, &err.to_string(), sent_at);
                return SendResult::Retry;
            }
        };
        let Some(report) = CarryReport::take_from(&mut head.headers) else {
            self.record_sends(context, 1);
            self.record_runs(Verdict::MayHaveRun, granted_runs);
            self.pause_peer(context, &peer, "the response bears no report", sent_at);
            return SendResult::Retry;
        };
        self.record_sends(context, report.sends);
        if let Some(failure) = report.failure() {
            self.record_peer_failure(context, &peer, &report, failure, sent_at);
            return SendResult::Retry;
        }
        if !(200..=299).contains(&head.status) {
            self.record_runs(Verdict::Ran, report.runs + 1);
            self.keep_failure_response(head, context.buffered_bytes.read_to_end(&mut exchange))
                .await;
            return SendResult::Retry;
        }
        self.size = report.size;
        // Each may be asked again to go on with a stream.
        self.peers_asked.clear();
        self.peer_failure = None;
        SendResult::Started(Box::new(StartedResponse {
            exchange,
            reply: answered(),
            head,
            endpoint: Arc::new(stand_in(&peer, &self.service)),
            call_guard: CallGuard::new(Rc::default(), RequestLoad::from_prefill(0.0)),
            running: None,
            carried: Some(CarriedCall::new(in_flight, granted_runs)),
            sent_at,
            time_to_head: sent_at.elapsed(),
            reading_ms: 0.0,
        }))
    }

    /// Returns what the peer is asked. A stream keeps an attempt for going on at another peer.
    fn order(
        &self,
        context: &RequestContext,
        view: &View,
        resume_after: Option<u64>,
    ) -> CarryOrder {
        let left = self.route.max_attempts.saturating_sub(self.runs);
        CarryOrder {
            home: context.settings.name.to_string(),
            service: self.service.to_string(),
            remaining_ms: (self.remaining().as_millis() as u64).max(1),
            attempts: left.saturating_sub(1).max(1),
            resume_after,
            size: self.size.filter(|_| self.is_resumed),
            config: view.table.as_ref().map_or(0, |table| table.version()),
        }
    }

    fn encode(&self, order: &CarryOrder) -> Vec<u8> {
        let mut headers = self.inbound.head.headers.end_to_end();
        order.set_in(&mut headers);
        headers.push("Content-Length", self.inbound.body.len().to_string());
        let head = RequestHead {
            method: self.inbound.head.method.clone(),
            target: self.inbound.head.target.clone(),
            minor_version: 1,
            headers,
        };
        head.to_bytes()
    }

    fn peer_timeout(&self) -> Duration {
        let timeout = self.endpoint_timeout(&EndpointState::default());
        (timeout * PEER_TIMEOUT_FACTOR).min(self.remaining())
    }

    fn record_peer_failure(
        &mut self,
        context: &RequestContext,
        peer: &Peer,
        report: &CarryReport,
        failure: Failure,
        sent_at: Instant,
    ) {
        if failure.verdict != Verdict::NotRun {
            self.record_runs(failure.verdict, report.runs.max(1));
        } else if failure.reason != Reason::NoEndpoint {
            // A peer that reaches no endpoint says nothing of the load of those.
            self.refusals += 1;
        }
        self.pause_peer(context, peer, &failure.to_string(), sent_at);
        self.peer_failure = Some(failure);
    }

    /// Asks a peer no more for a while, and logs why.
    fn pause_peer(&self, context: &RequestContext, peer: &Peer, detail: &str, sent_at: Instant) {
        context
            .peer_states
            .pause(peer.incarnation, &self.service, context.now_ms());
        tracing::info!(
            id = &*self.info.id,
            peer = &*peer.name,
            detail,
            elapsed_ms = sent_at.elapsed().as_millis() as u64,
            sends = self.sends,
            "carry: no answer"
        );
    }
}

/// What is known of an endpoint's answer that came by way of a peer, which has checked it.
fn answered() -> Reply {
    Reply {
        execution_status: ExecutionStatus::Answered,
        matches_request: true,
        sealed: true,
        confidence: None,
        rate_limit_per_s: None,
        refusal_limit_per_s: None,
        is_leaving: false,
        pause_ms: None,
    }
}

/// Returns an endpoint that stands for a peer. The peer records what concerns the real one.
fn stand_in(peer: &Peer, service: &Arc<str>) -> Endpoint {
    Endpoint {
        id: peer.name.clone(),
        started_ms: None,
        service: service.clone(),
        addr: peer.addr,
        zone: "".into(),
        version: "".into(),
        slots: 0,
        draining: false,
        cold_left: None,
    }
}
