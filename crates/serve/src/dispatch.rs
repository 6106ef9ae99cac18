//! Sending of a request to endpoints until one responds.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use kernel::{Failure, Reason, Verdict};
use limits::{Admittance, PlacementError, RequestLoad, Subject};
use relay::{Exchange, ExchangeError, ResponseHead};

use crate::active_request::{ActiveRequest, FailureResponse};
use crate::answer_end::{Doubt, judge_end};
use crate::call_guard::CallGuard;
use crate::call_record::{record_connected, record_unreachable, record_wishes};
use crate::endpoint::Endpoint;
use crate::endpoint_protocol::{Attempt, ExecutionStatus, Reply};
use crate::endpoint_state::EndpointState;
use crate::outcome::Counters;
use crate::peer_choice::Peer;
use crate::peer_states::CarriedCall;
use crate::placement::{self, Placement};
use crate::request_context::RequestContext;
use crate::run::Run;
use crate::version_counters::{CallOutcome, VersionCounters};
use crate::view::View;
use crate::witnessing;

/// Retry-after while no endpoint can take a request, in milliseconds: the duration of a restart.
const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 500;

/// Retry-after while all endpoints are full, in milliseconds: a few plain requests.
const FULL_RETRY_AFTER_MS: u64 = 120;

/// Timeout for reading the body of an error response, which delays the next attempt.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without any bytes after which an endpoint with calls in flight counts as dead, in
/// milliseconds. Live engines send a token of some request many times a second.
const SILENCE_TIMEOUT_MS: u64 = 1_500;

const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Guard that counts a call as running on a version until it is dropped.
pub(crate) struct RunningCall {
    counters: Arc<VersionCounters>,
    endpoint: Arc<Endpoint>,
    may_repeat: bool,
}

impl RunningCall {
    fn start(
        counters: &Arc<VersionCounters>,
        endpoint: &Arc<Endpoint>,
        may_repeat: bool,
    ) -> RunningCall {
        counters.call_started(&endpoint.service, &endpoint.version, may_repeat);
        RunningCall {
            counters: counters.clone(),
            endpoint: endpoint.clone(),
            may_repeat,
        }
    }

    /// Records that the call may not be repeated from now on.
    pub(crate) fn forbid_repeat(&mut self) {
        if !std::mem::take(&mut self.may_repeat) {
            return;
        }
        let Endpoint {
            service, version, ..
        } = &*self.endpoint;
        self.counters.call_ended(service, version, true);
        self.counters.call_started(service, version, false);
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.counters.call_ended(
            &self.endpoint.service,
            &self.endpoint.version,
            self.may_repeat,
        );
    }
}

/// A response whose head has arrived.
pub(crate) struct StartedResponse {
    pub(crate) exchange: Exchange,
    pub(crate) head: ResponseHead,
    pub(crate) reply: Reply,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) call_guard: CallGuard,
    pub(crate) running: Option<RunningCall>,
    /// The call of the peer that carries the request, if one does.
    pub(crate) carried: Option<CarriedCall>,
    pub(crate) sent_at: Instant,
    /// Time from the send to the response head.
    pub(crate) time_to_head: Duration,
    /// Estimated time to read the prompt when the endpoint was chosen, in milliseconds.
    pub(crate) reading_ms: f64,
}

/// Result of one send.
pub(crate) enum SendResult {
    Started(Box<StartedResponse>),
    /// No usable response; another endpoint may take the request.
    Retry,
}

/// Where a request is sent.
enum Way {
    Endpoint(Placement),
    Peer(Peer),
}

impl ActiveRequest {
    /// Sends the request to one endpoint after another until one responds.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed, no attempt or retry is left, or no endpoint can take the
    /// request.
    pub(crate) async fn dispatch(
        &mut self,
        context: &Rc<RequestContext>,
        resume_after: Option<u64>,
    ) -> Result<Box<StartedResponse>, Failure> {
        loop {
            if self.remaining().is_zero() {
                return Err(self.failure(Reason::Deadline, "the time is up"));
            }
            if !self.may_retry() {
                let failure = self.failure(
                    Reason::EndpointFailed,
                    "no further attempt is allowed for the request",
                );
                return Err(failure.retry_after_ms(self.retry_after_ms(FULL_RETRY_AFTER_MS)));
            }
            self.check_crashes(context)?;
            let view = context.view();
            self.check_homes(context, &view)?;
            let way = match self.choose_carrier(context, &view)? {
                Some(peer) => Way::Peer(peer),
                None => Way::Endpoint(self.place(context, &view)?),
            };
            if self.sends > 0 {
                self.acquire_retry(context)?;
            }
            self.is_sent = true;
            self.end_is_recorded = false;
            let result = match way {
                Way::Endpoint(placement) => self.send(context, placement, resume_after).await,
                Way::Peer(peer) => self.send_to_peer(context, &view, peer, resume_after).await,
            };
            if let SendResult::Started(started) = result {
                return Ok(started);
            }
            // Its end is recorded.
            self.is_sent = false;
        }
    }

    /// Takes a retry from the budget of the service.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used up.
    fn acquire_retry(&mut self, context: &RequestContext) -> Result<(), Failure> {
        if context.try_acquire_retry(&self.service) {
            self.repeats.record_retry(context.now_ms());
            return Ok(());
        }
        Counters::add(&context.counters.refused_retries);
        let detail = "the retry budget of the service is used up";
        let failure = self.failure(Reason::Overloaded, detail);
        Err(failure.retry_after_ms(self.retry_after_ms(FULL_RETRY_AFTER_MS)))
    }

    /// Checks that neither the request nor a part of its prompt is known to crash endpoints.
    ///
    /// # Errors
    ///
    /// Fails if one of them is blocked, or if an endpoint ended under the request and one is suspect.
    fn check_crashes(&self, context: &RequestContext) -> Result<(), Failure> {
        let now_ms = context.now_ms();
        let crashes = context.endpoint_states.crashes();
        let subjects = self.key.subjects();
        let view = context.view.load();
        let is_first = |subject: Subject| view.rank_for(&format!("{subject:x?}")) == 0;
        if let Admittance::Blocked(left_ms) = crashes.admit(subjects, is_first, now_ms) {
            let detail = "the request or a part of its prompt crashes endpoints";
            let failure = self.failure(Reason::CrashesEndpoints, detail);
            return Err(failure.retry_after_ms(left_ms));
        }
        if self.crashes > 0 && crashes.is_suspect(subjects, now_ms) {
            let detail = "an endpoint ended under the request, which may be the cause";
            return Err(self.failure(Reason::EndpointFailed, detail));
        }
        Ok(())
    }

    fn place(&mut self, context: &Rc<RequestContext>, view: &View) -> Result<Placement, Failure> {
        self.take_rank(context, view)?;
        let prompt = self.prompt_load(context);
        let choose = |request: &ActiveRequest| {
            placement::choose_endpoint(
                request,
                view,
                &context.endpoint_states,
                &context.settings.zone,
                &prompt,
                context.now_ms(),
            )
        };
        let mut placement = choose(self);
        if placement
            .as_ref()
            .is_err_and(|err| *err == PlacementError::NoCandidate)
            && self.verdict != Verdict::NotRun
            && !self.is_moving
        {
            // All endpoints were tried; one that failed may succeed on a second attempt.
            self.tried.clear();
            placement = choose(self);
        }
        placement.map_err(|err| match err {
            PlacementError::NoCandidate => self
                .failure(
                    Reason::NoEndpoint,
                    "no endpoint of the service can take the request",
                )
                .retry_after_ms(self.retry_after_ms(NO_ENDPOINT_RETRY_AFTER_MS)),
            PlacementError::Full => self.failure_full(context, view),
        })
    }

    /// Returns the failure of a request for which no endpoint has room.
    fn failure_full(&self, context: &RequestContext, view: &View) -> Failure {
        let states = &context.endpoint_states;
        if let Some(pause_ms) = placement::shortest_pause_ms(self, view, states, context.now_ms()) {
            let detail = "all endpoints of the service want no requests for a while";
            return self
                .failure(Reason::Overloaded, detail)
                .retry_after_ms(pause_ms);
        }
        let rate = placement::limited_rate(self, view, states, context.now_ms());
        let Some(rate_per_s) = rate else {
            return self
                .failure(Reason::Overloaded, "all endpoints of the service are full")
                .retry_after_ms(self.retry_after_ms(FULL_RETRY_AFTER_MS));
        };
        let delay_ms = context.reserve_retry_after(&self.service, rate_per_s);
        self.failure(
            Reason::Overloaded,
            "the endpoints of the service that have room are at their rate limits or cold",
        )
        .retry_after_ms(delay_ms)
    }

    async fn send(
        &mut self,
        context: &Rc<RequestContext>,
        placement: Placement,
        resume_after: Option<u64>,
    ) -> SendResult {
        let Placement {
            endpoint,
            endpoint_state,
            prompt_load,
        } = placement;
        let reading_ms = self.reading_ms(context);
        let mut call_guard = CallGuard::new(
            endpoint_state.clone(),
            RequestLoad::from_prefill(prompt_load),
        );
        let sent_ms = context.now_ms();
        self.repeats.record_send(&endpoint_state, sent_ms);
        let attempt = Attempt {
            request: &self.info,
            head: &self.inbound.head,
            body_bytes: self.inbound.body.len(),
            endpoint: &endpoint,
            remaining_ms: (self.remaining().as_millis() as u64).max(1),
            workspace: self.workspace.as_ref().map(|workspace| &*workspace.name),
            priority: self.endpoint_priority(),
            size: self
                .size
                .and_then(|size| self.route.model_sizes.get(size))
                .map(|size| &**size),
            resume_after,
        };
        let bytes = context.endpoint_protocol.encode(&attempt);
        let sent_at = Instant::now();
        let connect_until = sent_at + Duration::from_millis(context.settings.connect_timeout_ms);
        Counters::add(&context.counters.connections_for_requests);
        let may_repeat = self.route.retry_safety.may_retry();
        let running = RunningCall::start(&context.version_counters, &endpoint, may_repeat);
        let exchange = Exchange::start(
            endpoint.addr,
            connect_until.min(self.deadline),
            sent_at + self.endpoint_timeout(&endpoint_state),
            &self.inbound.head.method,
            &bytes,
            &self.inbound.body,
        );
        let silence = async {
            self.wait_for_silence(context, &endpoint_state).await;
            let source = std::io::Error::other("the endpoint sent no bytes of any response");
            Err(ExchangeError { sent: true, source })
        };
        let started = exchange.or(silence).await;
        match &started {
            Err(err) if err.sent && is_silence(&err.source) => self.repeats.record_silence(),
            _ => self.repeats.record_end(),
        }
        self.tried.push(Run::of(&endpoint));
        self.last_endpoint = Some(endpoint.clone());
        let now_ms = context.now_ms();
        let (mut exchange, head) = match started {
            Ok(started) => started,
            Err(err) if !err.sent => {
                record_unreachable(&endpoint, &endpoint_state, sent_ms, now_ms);
                self.record_broken(context, &endpoint, &endpoint_state, &err.source);
                self.refusals += 1;
                self.unreached += 1;
                self.unreached_time += sent_at.elapsed();
                self.log_send(&endpoint, "unreached", &err.to_string(), sent_at);
                return SendResult::Retry;
            }
            Err(err) => {
                record_connected(&endpoint, &endpoint_state, sent_ms);
                self.record_sends(context, 1);
                self.record_run(Verdict::MayHaveRun);
                endpoint_state.record_outcome(true, now_ms);
                if err.source.kind() == io::ErrorKind::TimedOut {
                    let elapsed = sent_at.elapsed();
                    self.record_given_up(context, &endpoint, &endpoint_state, elapsed);
                }
                self.record_broken(context, &endpoint, &endpoint_state, &err.source);
                self.record_broken_before_start(context, &endpoint_state, &err.source);
                self.log_send(&endpoint, "broke", &err.to_string(), sent_at);
                return SendResult::Retry;
            }
        };
        record_connected(&endpoint, &endpoint_state, sent_ms);
        let time_to_head = sent_at.elapsed();
        let reply = context.endpoint_protocol.decode(&self.info, &head);
        if reply.matches_request && reply.execution_status != ExecutionStatus::Misdirected {
            endpoint_state.record_head(time_to_head.as_millis() as u64, now_ms);
        }
        context.baselines.record_prompt(
            &self.baseline_key(),
            self.info.token_usage.prompt_tokens,
            self.info.new_tokens(),
            time_to_head.as_millis() as f64,
        );
        call_guard.response_started(now_ms);
        self.record_sends(context, 1);
        if reply.tells_rate_limit() {
            let limit_per_s = reply.rate_limit_per_s;
            let states = &context.endpoint_states;
            states.record_rate_limit(&endpoint, limit_per_s, now_ms);
        }
        record_wishes(&endpoint, &endpoint_state, &reply, now_ms);
        if reply.matches_request
            && reply.execution_status == ExecutionStatus::Answered
            && reply.sealed
        {
            endpoint_state.record_start(self.key.clone(), now_ms);
            return SendResult::Started(Box::new(StartedResponse {
                exchange,
                head,
                reply,
                endpoint,
                call_guard,
                running: Some(running),
                carried: None,
                sent_at,
                time_to_head,
                reading_ms,
            }));
        }
        self.record_unusable_response(context, &endpoint, &endpoint_state, &reply, sent_at);
        if reply.matches_request && reply.execution_status == ExecutionStatus::Failed {
            endpoint_state.record_survival(&self.key, now_ms);
            let state = &endpoint_state;
            let reading = witnessing::read_to_end(context, &endpoint, state, &mut exchange);
            self.keep_failure_response(head, Box::pin(reading)).await;
            let doubt = Doubt::new(context, &exchange, &call_guard, self.may_retry());
            let end = judge_end(context, self, &exchange, &endpoint, &endpoint_state, doubt).await;
            if let Err(err) = end.check_whole() {
                self.log_send(&endpoint, "error truncated", &err.to_string(), sent_at);
                self.failure_response = None;
            }
        }
        SendResult::Retry
    }

    /// Records a response that the caller cannot use, and what it states about the request.
    fn record_unusable_response(
        &mut self,
        context: &RequestContext,
        endpoint: &Arc<Endpoint>,
        endpoint_state: &EndpointState,
        reply: &Reply,
        sent_at: Instant,
    ) {
        let now_ms = context.now_ms();
        let (result, detail, verdict) = match reply.execution_status {
            _ if !reply.matches_request => (
                "foreign",
                "the response does not echo the request's id",
                Verdict::MayHaveRun,
            ),
            ExecutionStatus::Misdirected => (
                "misdirected",
                "the address belongs to another endpoint",
                Verdict::NotRun,
            ),
            ExecutionStatus::NotStarted => (
                "not started",
                "the endpoint did not start the request",
                Verdict::NotRun,
            ),
            ExecutionStatus::Failed => (
                "failed",
                "the endpoint ran the request and failed",
                Verdict::Ran,
            ),
            ExecutionStatus::Answered => (
                "unsealed",
                "the response carries no seal",
                Verdict::MayHaveRun,
            ),
        };
        self.log_send(endpoint, result, detail, sent_at);
        if verdict == Verdict::NotRun {
            self.refusals += 1;
            match reply.execution_status {
                ExecutionStatus::Misdirected => endpoint_state.record_misdirected(),
                _ => endpoint_state.record_full(now_ms),
            }
            return;
        }
        self.record_run(verdict);
        endpoint_state.record_outcome(true, now_ms);
        self.record_call_outcome(context, endpoint, CallOutcome::Failed, None);
    }

    /// Keeps an endpoint's error response for the caller, in case no retry succeeds.
    pub(crate) async fn keep_failure_response(
        &mut self,
        head: ResponseHead,
        reading: impl Future<Output = io::Result<Bytes>>,
    ) {
        let until = self.deadline.min(Instant::now() + FAILURE_BODY_TIMEOUT);
        if let Ok(body) = relay::timeout_at(until, reading).await {
            self.failure_response = Some(FailureResponse { head, body });
        }
    }

    /// Waits until an endpoint is silent for too long, or forever if the request has no retry left.
    async fn wait_for_silence(&self, context: &RequestContext, endpoint_state: &EndpointState) {
        if !self.route.retry_safety.may_retry() || self.runs + 1 >= self.route.max_attempts {
            std::future::pending::<()>().await;
        }
        let sent_ms = context.now_ms();
        loop {
            Timer::after(SILENCE_CHECK_INTERVAL).await;
            let last_ms = endpoint_state.last_received_ms().max(sent_ms);
            if context.now_ms() >= last_ms + SILENCE_TIMEOUT_MS {
                return;
            }
        }
    }
}

/// Returns whether a send ended although its connection lives: by a timeout, or as the endpoint sends
/// nothing to anyone.
fn is_silence(err: &io::Error) -> bool {
    matches!(err.kind(), io::ErrorKind::TimedOut | io::ErrorKind::Other)
}
