//! Handling of one request from its head to its response.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_lite::FutureExt;
use kernel::{Clock, Failure, Reason, Verdict};
use limits::FleetSize;
use relay::{Body, Handler, Limits, LocalFuture, Request, Response};

use crate::active_request::ActiveRequest;
use crate::admission::admit;
use crate::answer_end::{Doubt, judge_end};
use crate::baseline::LatencyBaselines;
use crate::buffered_body::BufferedBytes;
use crate::caller_protocol::CallerProtocol;
use crate::carried::CarriedCount;
use crate::carry_message::CarryOrder;
use crate::cold_ends;
use crate::dispatch::StartedResponse;
use crate::endpoint_protocol::EndpointProtocol;
use crate::endpoint_states::EndpointStates;
use crate::outcome::{Counters, Observer, Outcome};
use crate::pace_comparison::PaceComparison;
use crate::reach;
use crate::request::RequestInfo;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::retries_left;
use crate::run_book::RunBook;
use crate::service_orders::ServiceOrders;
use crate::settings::Settings;
use crate::shared_load::SharedLoads;
use crate::size_book::SizeBook;
use crate::stop_signal::StopSignal;
use crate::stream::Stream;
use crate::version_counters::{CallOutcome, Measured, VersionCounters};
use crate::view::View;
use crate::witnessing;

/// Statuses by which callers conclude that a request did not run. They are not forwarded from an
/// endpoint that ran it.
const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Retry-after of a stopping instance, in milliseconds. The retry goes to another instance.
const STOPPING_RETRY_AFTER_MS: u64 = 50;

const MS_PER_S: f64 = 1_000.0;

/// Ratio of an answer's time to the service's baseline from which it is slow.
const SLOW_ANSWER_RATIO: f64 = 4.0;

/// Handles requests: finds their route, dispatches them to endpoints and returns the responses.
pub struct Pipeline {
    pub(crate) context: Rc<RequestContext>,
}

impl Pipeline {
    /// Creates a pipeline that reads its configuration and endpoints from `view`.
    pub fn new(
        settings: Settings,
        caller_protocol: Rc<dyn CallerProtocol>,
        endpoint_protocol: Rc<dyn EndpointProtocol>,
        observer: Rc<dyn Observer>,
        clock: Arc<dyn Clock>,
        view: Arc<ArcSwap<View>>,
    ) -> Pipeline {
        Pipeline {
            context: Rc::new(RequestContext {
                started_ms: clock.mono_ms(),
                fleet_size: RefCell::new(FleetSize::new(settings.configured_instances)),
                endpoint_states: EndpointStates::new(&settings, &clock),
                buffered_bytes: BufferedBytes::new(settings.max_buffered_bytes),
                settings,
                caller_protocol,
                endpoint_protocol,
                pace_comparison: PaceComparison::default(),
                version_counters: Arc::default(),
                counters: Arc::default(),
                observer,
                clock,
                view,
                retry_windows: RefCell::default(),
                retry_schedules: RefCell::default(),
                late_repeats: Rc::default(),
                baselines: LatencyBaselines::default(),
                size_book: SizeBook::default(),
                service_orders: ServiceOrders::default(),
                run_book: RunBook::default(),
                reach_probes: RefCell::default(),
                peer_states: Rc::default(),
                carried_count: CarriedCount::default(),
                stop: StopSignal::new(),
                stopped: Cell::new(false),
            }),
        }
    }

    /// Begins a planned stop. Requests that are not answered by `ends_at` get a failure then, and those
    /// that may run once are taken only if their deadlines come before.
    pub fn begin_stop(&self, ends_at: Instant) {
        self.context.stop.begin(ends_at);
    }

    /// Refuses all further requests, at the end of a graceful stop.
    pub fn stop_accepting(&self) {
        self.context.stopped.set(true);
    }

    /// Returns the call outcomes by version.
    pub fn version_counters(&self) -> Arc<VersionCounters> {
        self.context.version_counters.clone()
    }

    /// Returns the loads of endpoints, for the exchange with other instances.
    pub fn shared_loads(&self) -> Arc<SharedLoads> {
        self.context.endpoint_states.shared_loads()
    }

    /// Returns the counts of requests by outcome.
    pub fn counters(&self) -> Arc<Counters> {
        self.context.counters.clone()
    }

    /// Returns the memory of the response bodies that are being read, in bytes, which goes on to change.
    pub fn buffered_bytes(&self) -> Rc<Cell<u64>> {
        self.context.buffered_bytes.total()
    }

    /// Probes endpoints that may be out of reach, asks those whose cold periods end, and publishes what is left of
    /// retry budgets, as long as it is polled.
    pub fn probe_endpoints(&self) -> impl Future<Output = ()> + use<> {
        let probes = reach::probe(self.context.clone());
        probes
            .or(cold_ends::confirm(self.context.clone()))
            .or(retries_left::publish(self.context.clone()))
    }

    /// Serves a request of a caller, or one that a peer handed over.
    pub(crate) async fn serve(&self, inbound: Request, order: Option<CarryOrder>) -> Response {
        let context = &self.context;
        let view = context.view();
        let log = RequestLog {
            received: inbound.received_at,
            config: view.table.as_ref().map_or(0, |table| table.version()),
            view: view.generation,
            store_unreachable: view.store_unreachable,
            stream: None,
        };
        let info = match context.caller_protocol.decode(&inbound.head) {
            Ok(info) => info,
            Err(failure) => {
                let response = self.encode_failure(order.is_some(), None, None, &failure);
                log.write(context, None, &Outcome::Failed(failure));
                return response;
            }
        };
        let admitted = if context.stopped.get() {
            let failure = Failure::not_run(Reason::NotReady, "this instance is stopping");
            Err(failure.retry_after_ms(STOPPING_RETRY_AFTER_MS))
        } else {
            admit(context, &view, &info, inbound, order.clone())
        };
        let mut request = match admitted {
            Ok(request) => request,
            Err(failure) => {
                let is_carried = order.is_some();
                let response = self.encode_failure(is_carried, Some(&info), None, &failure);
                log.write_request(context, Some(&info), None, &Outcome::Failed(failure));
                return response;
            }
        };
        if context.stop.ends_before(request.deadline) && !request.route.retry_safety.may_retry() {
            let detail = "this instance may stop before the request, which may run once, has ended";
            let failure = Failure::not_run(Reason::NotReady, detail);
            let failure = failure.retry_after_ms(STOPPING_RETRY_AFTER_MS);
            return self.finish(&request, &log, Err(failure));
        }
        if request.carried.is_none() {
            context.record_request(&request.service);
        }
        if request.route.retry_safety.is_stream() {
            return self.serve_stream(request, log).await;
        }
        let guard = DisconnectGuard::new(context, &log, &request);
        let answered = context
            .stop
            .bound(run_buffered(context, &mut request))
            .await;
        let answered = answered.unwrap_or_else(|| Err(request.cut_short()));
        guard.disarm();
        self.finish(&request, &log, answered)
    }

    fn finish(
        &self,
        request: &ActiveRequest,
        log: &RequestLog,
        answered: Result<Response, Failure>,
    ) -> Response {
        let context = &self.context;
        match answered {
            Ok(mut response) => {
                log.write(context, Some(request), &Outcome::Answered(response.status));
                request.add_report(&mut response);
                response
            }
            Err(failure) => {
                let error = request.failure_response.as_ref();
                let forwarded =
                    error.filter(|error| !NOT_RUN_STATUSES.contains(&error.head.status));
                if let Some(error) = forwarded {
                    let status = error.head.status;
                    log.write(context, Some(request), &Outcome::Answered(status));
                    let mut response = forward_head(&error.head).body(error.body.clone());
                    request.add_report(&mut response);
                    return response;
                }
                let is_carried = request.carried.is_some();
                let info = Some(&request.info);
                let response = self.encode_failure(is_carried, info, Some(request), &failure);
                log.write(context, Some(request), &Outcome::Failed(failure));
                response
            }
        }
    }

    /// Encodes a failure for the caller, or for the peer that handed the request over.
    fn encode_failure(
        &self,
        is_carried: bool,
        info: Option<&RequestInfo>,
        request: Option<&ActiveRequest>,
        failure: &Failure,
    ) -> Response {
        if !is_carried {
            return self.context.caller_protocol.encode_failure(info, failure);
        }
        let report = request.map(ActiveRequest::report).unwrap_or_default();
        let mut response = Response::new(failure.reason.status());
        report.with_failure(failure).set_in(&mut response.headers);
        response
    }

    async fn serve_stream(&self, mut request: ActiveRequest, log: RequestLog) -> Response {
        let context = &self.context;
        let guard = DisconnectGuard::new(context, &log, &request);
        let started = context
            .stop
            .bound(start_stream(context, &mut request))
            .await;
        let started = started.unwrap_or_else(|| Err(request.cut_short()));
        guard.disarm();
        match started {
            Ok(started) => {
                let mut response = forward_head(&started.head);
                request.add_report(&mut response);
                let stream = Stream::new(context.clone(), request, started, log);
                response.body = Body::Stream(Box::new(stream));
                response
            }
            Err(failure) => self.finish(&request, &log, Err(failure)),
        }
    }
}

impl Handler for Pipeline {
    fn handle(&self, inbound: Request) -> LocalFuture<'_, Response> {
        Box::pin(self.serve(inbound, None))
    }

    fn limits(&self) -> Limits {
        let view = self.context.view.load();
        let declared = view.table.as_ref().and_then(|table| table.limits());
        let Some(declared) = declared else {
            return Limits::default();
        };
        Limits {
            max_head_bytes: declared.max_head_bytes as usize,
            max_body_bytes: declared.max_body_bytes,
            receive_timeout_ms: declared.arrival_timeout_ms,
            idle_timeout_ms: declared.idle_timeout_ms,
            ..Limits::default()
        }
    }
}

/// Logs a request whose caller disconnects before the response, unless it is disarmed.
struct DisconnectGuard<'a> {
    context: &'a Rc<RequestContext>,
    log: &'a RequestLog,
    id: Arc<str>,
    armed: bool,
}

impl<'a> DisconnectGuard<'a> {
    fn new(
        context: &'a Rc<RequestContext>,
        log: &'a RequestLog,
        request: &ActiveRequest,
    ) -> DisconnectGuard<'a> {
        DisconnectGuard {
            context,
            log,
            id: request.info.id.clone(),
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let info = RequestInfo {
            id: self.id.clone(),
            ..RequestInfo::default()
        };
        self.log.write_request(
            self.context,
            Some(&info),
            None,
            &Outcome::CallerDisconnected,
        );
    }
}

/// Runs a request whose response is forwarded once it is complete.
async fn run_buffered(
    context: &Rc<RequestContext>,
    request: &mut ActiveRequest,
) -> Result<Response, Failure> {
    loop {
        let mut started = request.dispatch(context, None).await?;
        let endpoint_state = started.call_guard.endpoint_state.clone();
        let deadline = request.deadline;
        let whole_body = async {
            let body = read_whole(context, &mut started).await?;
            let StartedResponse {
                exchange,
                endpoint,
                call_guard,
                ..
            } = &*started;
            let doubt = Doubt::new(
                context,
                exchange,
                call_guard,
                request.may_repeat_after_run(),
            );
            let end = judge_end(context, request, exchange, endpoint, &endpoint_state, doubt).await;
            end.check_whole()?;
            Ok(body)
        };
        let body = relay::timeout_at(deadline, whole_body).await;
        let now_ms = context.now_ms();
        match body {
            Ok(body) => {
                endpoint_state.record_outcome(false, now_ms);
                if !started.exchange.ends_with_connection() {
                    endpoint_state.record_completed(&request.key, now_ms);
                }
                record_answered(context, request, &started);
                return Ok(forward_head(&started.head).body(body));
            }
            Err(err) => {
                endpoint_state.record_outcome(true, now_ms);
                let carried = started.carried.as_ref();
                request.record_runs(Verdict::Ran, carried.map_or(1, |call| call.granted_runs));
                if err.kind() == io::ErrorKind::ConnectionReset {
                    endpoint_state.witness.record_reset();
                }
                request.record_broken(context, &started.endpoint, &endpoint_state, &err);
                let sent_at = started.sent_at;
                request.log_send(
                    &started.endpoint,
                    "response truncated",
                    &err.to_string(),
                    sent_at,
                );
            }
        }
    }
}

async fn read_whole(
    context: &Rc<RequestContext>,
    started: &mut StartedResponse,
) -> io::Result<Bytes> {
    let StartedResponse {
        exchange,
        endpoint,
        call_guard,
        ..
    } = started;
    let state = &call_guard.endpoint_state;
    witnessing::read_to_end(context, endpoint, state, exchange).await
}

fn record_answered(context: &RequestContext, request: &ActiveRequest, started: &StartedResponse) {
    if started.carried.is_some() {
        return;
    }
    let elapsed = started.sent_at.elapsed();
    let elapsed_ms = elapsed.as_secs_f64() * MS_PER_S;
    let ratio = context
        .baselines
        .record_answer(&request.baseline_key(), elapsed_ms);
    started
        .call_guard
        .endpoint_state
        .record_latency_ratio(ratio, context.now_ms());
    // A version may answer several times slower and still within the objective.
    let is_late = elapsed.as_millis() > u128::from(request.route.objective_ms);
    let slow = is_late || ratio >= SLOW_ANSWER_RATIO;
    let outcome = if slow {
        CallOutcome::Slow
    } else {
        CallOutcome::Answered
    };
    let measured = Some(Measured::AnswerMs(elapsed_ms));
    request.record_call_outcome(context, &started.endpoint, outcome, measured);
}

/// Starts a stream, and runs larger sizes of the model as long as their expected gain is worth it.
async fn start_stream(
    context: &Rc<RequestContext>,
    request: &mut ActiveRequest,
) -> Result<Box<StartedResponse>, Failure> {
    let carried = request.carried.as_ref();
    let ordered_size = carried.and_then(|carried| carried.order.size);
    request.size = ordered_size.or_else(|| request.choose_first_size(context));
    if request.carried.is_none() {
        request.check_end_in_time(context)?;
    }
    let resume_after = request.info.resume_after;
    loop {
        let started = request.dispatch(context, resume_after).await?;
        if request.size.is_none() || ordered_size.is_some() || started.carried.is_some() {
            return Ok(started);
        }
        request.confidence = started.reply.confidence;
        request.record_confidence(context);
        record_wait(context, request, &started);
        log_confidence(context, request, &started);
        let next_size = if let Some(smaller) = request.choose_smaller_size(context, &started) {
            smaller
        } else if let Some(larger) = request.choose_next_size(context, &started) {
            Counters::add(&context.counters.escalated);
            request.unsure_size = request.size;
            larger
        } else {
            return Ok(started);
        };
        drop(started);
        request.record_run(Verdict::Ran);
        request.size = Some(next_size);
        request.tried.clear();
    }
}

fn record_wait(context: &RequestContext, request: &ActiveRequest, started: &StartedResponse) {
    let undisturbed_ms = started.reading_ms + context.baselines.fixed_ms(&request.service);
    let wait_ms = started.time_to_head.as_millis() as f64 - undisturbed_ms;
    context.service_orders.record_wait(
        &request.service,
        request.priority(),
        wait_ms,
        context.now_ms(),
    );
    context.baselines.record_wait(
        &request.service,
        wait_ms,
        request.route.objective_ms as f64,
        context.now_ms(),
    );
}

fn log_confidence(context: &RequestContext, request: &ActiveRequest, started: &StartedResponse) {
    tracing::info!(
        id = &*request.info.id,
        session = request.info.session.as_deref(),
        size = request.size,
        prompt_tokens = request.info.token_usage.prompt_tokens,
        new_tokens = request.info.new_tokens(),
        first_ms = started.time_to_head.as_millis() as u64,
        endpoint = &*started.endpoint.id,
        load = started.call_guard.endpoint_state.load(),
        time_ratio = started
            .call_guard
            .endpoint_state
            .time_ratio(context.now_ms()),
        reading_ms = started.reading_ms as u64,
        confidence = request.confidence,
        wait_share = context.baselines.wait_share(&request.service),
        "request: confidence"
    );
}

/// Returns an endpoint's response head without its hop-by-hop headers.
fn forward_head(head: &relay::ResponseHead) -> Response {
    let mut response = Response::new(head.status);
    response.headers = head.headers.end_to_end();
    response
}
