//! Handling of one request from its head to its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kernel::{Clock, Failure, Reason, Verdict};
use relay::{Body, Handler, Limits, LocalFuture, Request, Response};
use route::{KeyError, Table};

use crate::active_request::ActiveRequest;
use crate::baseline::LatencyBaselines;
use crate::buffered_body::BufferedBytes;
use crate::caller_protocol::CallerProtocol;
use crate::dispatch::StartedResponse;
use crate::endpoint_protocol::EndpointProtocol;
use crate::endpoint_state::EndpointStates;
use crate::outcome::{Counters, Observer, Outcome};
use crate::request::RequestInfo;
use crate::request_context::RequestContext;
use crate::request_key::RequestKey;
use crate::request_log::RequestLog;
use crate::settings::Settings;
use crate::shared_load::SharedLoads;
use crate::size_book::SizeBook;
use crate::stream::Stream;
use crate::version_counters::{CallOutcome, Measured, VersionCounters};
use crate::view::View;

/// Retry-after of an instance that has loaded no configuration yet, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 300;

/// Statuses by which callers conclude that a request did not run. They are not forwarded from an
/// endpoint that ran it.
const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Retry-after of a stopping instance, in milliseconds. The retry goes to another instance.
const STOPPING_RETRY_AFTER_MS: u64 = 50;

/// Timeout of a request whose caller sends no deadline, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

const MS_PER_S: f64 = 1_000.0;

/// Ratio of an answer's time to the service's baseline from which it is slow.
const SLOW_ANSWER_RATIO: f64 = 4.0;

/// Handles requests: finds their route, dispatches them to endpoints and returns the responses.
pub struct Pipeline {
    context: Rc<RequestContext>,
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
                settings,
                caller_protocol,
                endpoint_protocol,
                endpoint_states: EndpointStates::default(),
                version_counters: Arc::default(),
                counters: Arc::default(),
                observer,
                clock,
                view,
                retry_windows: RefCell::default(),
                retry_schedules: RefCell::default(),
                baselines: LatencyBaselines::default(),
                size_book: SizeBook::default(),
                buffered_bytes: BufferedBytes::default(),
                stopped: Cell::new(false),
            }),
        }
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

    async fn serve(&self, inbound: Request) -> Response {
        let context = &self.context;
        let view = context.view();
        let log = RequestLog {
            received: inbound.received_at,
            config: view.table.as_ref().map_or(0, |table| table.version()),
            view: view.generation,
            store_unreachable: view.store_unreachable,
        };
        let info = match context.caller_protocol.decode(&inbound.head) {
            Ok(info) => info,
            Err(failure) => {
                let response = context.caller_protocol.encode_failure(None, &failure);
                log.write(context, None, &Outcome::Failed(failure));
                return response;
            }
        };
        let admitted = if context.stopped.get() {
            let failure = Failure::not_run(Reason::NotReady, "this instance is stopping");
            Err(failure.retry_after_ms(STOPPING_RETRY_AFTER_MS))
        } else {
            admit(&view, &info, inbound)
        };
        let mut request = match admitted {
            Ok(request) => request,
            Err(failure) => {
                let response = context
                    .caller_protocol
                    .encode_failure(Some(&info), &failure);
                log.write_request(context, Some(&info), None, &Outcome::Failed(failure));
                return response;
            }
        };
        context.record_request(&request.service);
        if request.route.retry_safety.is_stream() {
            return self.serve_stream(request, log).await;
        }
        let guard = DisconnectGuard::new(context, &log, &request);
        let answered = run_buffered(context, &mut request).await;
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
            Ok(response) => {
                log.write(context, Some(request), &Outcome::Answered(response.status));
                response
            }
            Err(failure) => {
                let error = request.failure_response.as_ref();
                let forwarded =
                    error.filter(|error| !NOT_RUN_STATUSES.contains(&error.head.status));
                if let Some(error) = forwarded {
                    let status = error.head.status;
                    log.write(context, Some(request), &Outcome::Answered(status));
                    return forward_head(&error.head).body(error.body.clone());
                }
                let response = context
                    .caller_protocol
                    .encode_failure(Some(&request.info), &failure);
                log.write(context, Some(request), &Outcome::Failed(failure));
                response
            }
        }
    }

    async fn serve_stream(&self, mut request: ActiveRequest, log: RequestLog) -> Response {
        let context = &self.context;
        let guard = DisconnectGuard::new(context, &log, &request);
        let started = start_stream(context, &mut request).await;
        guard.disarm();
        match started {
            Ok(started) => {
                let mut response = forward_head(&started.head);
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
        Box::pin(self.serve(inbound))
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

/// Determines the route, service, workspace and deadline of a request.
///
/// # Errors
///
/// Fails if one of them cannot be determined; the request did not run then.
fn admit(view: &View, info: &RequestInfo, inbound: Request) -> Result<ActiveRequest, Failure> {
    let Some(table) = &view.table else {
        let failure = Failure::not_run(Reason::NotReady, "no configuration is loaded yet");
        return Err(failure.retry_after_ms(NO_CONFIG_RETRY_AFTER_MS));
    };
    let Some(route) = table.find(&info.host, &info.path) else {
        let detail = format!("no route for host '{}' and path '{}'", info.host, info.path);
        return Err(Failure::not_run(Reason::NotFound, detail));
    };
    let workspace = table.workspace(route, info.key.as_deref());
    let workspace = workspace.map_err(|err| {
        let detail = match err {
            KeyError::Missing => "the request carries no API key",
            KeyError::Unknown => "no workspace holds the request's key",
        };
        Failure::not_run(Reason::Unauthorized, detail)
    })?;
    let Some(target) = route.choose_target(fastrand::f64()) else {
        let detail = format!("route '{}' has no service", route.name);
        return Err(Failure::not_run(Reason::NoEndpoint, detail));
    };
    let remaining_ms = info.remaining_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let timeout_ms = route.timeout_ms.unwrap_or(u64::MAX);
    let deadline = inbound.received_at + Duration::from_millis(remaining_ms.min(timeout_ms));
    let caller = workspace.map(|workspace| &*workspace.name);
    let key = RequestKey::of(info, &inbound, caller);
    Ok(ActiveRequest {
        info: info.clone(),
        key,
        route: route.clone(),
        service: target.service.clone(),
        max_connections: max_connections(table, &target.service),
        workspace: workspace.cloned(),
        deadline,
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        refusals: 0,
        verdict: Verdict::NotRun,
        crashes: 0,
        size: None,
        unsure_size: None,
        confidence: None,
        last_endpoint: None,
        failure_response: None,
        inbound,
    })
}

fn max_connections(table: &Table, service: &Arc<str>) -> u32 {
    let service = table.service(service);
    service.map_or(u32::MAX, |service| service.max_connections)
}

/// Runs a request whose response is forwarded once it is complete.
async fn run_buffered(
    context: &Rc<RequestContext>,
    request: &mut ActiveRequest,
) -> Result<Response, Failure> {
    loop {
        let mut started = request.dispatch(context, None).await?;
        let whole_body = context.buffered_bytes.read_to_end(&mut started.exchange);
        let body = relay::timeout_at(request.deadline, whole_body).await;
        let now_ms = context.now_ms();
        match body {
            Ok(body) => {
                let endpoint_state = &started.call_guard.endpoint_state;
                endpoint_state.record_outcome(false, now_ms);
                if !started.exchange.ends_with_connection() {
                    endpoint_state.record_completed(&request.key, now_ms);
                }
                record_answered(context, request, &started);
                return Ok(forward_head(&started.head).body(body));
            }
            Err(err) => {
                started
                    .call_guard
                    .endpoint_state
                    .record_outcome(true, now_ms);
                request.record_run(Verdict::Ran);
                let endpoint_state = &started.call_guard.endpoint_state;
                request.record_broken(context, &started.endpoint, endpoint_state, &err);
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

fn record_answered(context: &RequestContext, request: &ActiveRequest, started: &StartedResponse) {
    let elapsed = started.sent_at.elapsed();
    let elapsed_ms = elapsed.as_secs_f64() * MS_PER_S;
    let ratio = context
        .baselines
        .record_answer(&request.baseline_key(), elapsed_ms);
    started
        .call_guard
        .endpoint_state
        .record_latency_ratio(ratio);
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
    request.size = request.choose_first_size(context);
    let resume_after = request.info.resume_after;
    loop {
        let started = request.dispatch(context, resume_after).await?;
        if request.size.is_none() {
            return Ok(started);
        }
        request.confidence = started.reply.confidence;
        request.record_confidence(context);
        record_wait(context, request, &started);
        log_confidence(context, request, &started);
        let Some(next_size) = request.choose_next_size(context) else {
            return Ok(started);
        };
        Counters::add(&context.counters.escalated);
        drop(started);
        request.record_run(Verdict::Ran);
        request.unsure_size = request.size;
        request.size = Some(next_size);
        request.tried.clear();
    }
}

fn record_wait(context: &RequestContext, request: &ActiveRequest, started: &StartedResponse) {
    let undisturbed_ms = started.reading_ms + context.baselines.fixed_ms(&request.service);
    let wait_ms = started.time_to_head.as_millis() as f64 - undisturbed_ms;
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
