//! The way of one request from its head to its answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kernel::{Clock, Failure, Reason, Verdict};
use policy::Cascade;
use relay::{Body, Handler, Limits, LocalFuture, Request, Response};
use route::{KeyError, RetrySafety, Table};

use crate::caller_protocol::CallerProtocol;
use crate::desk::Desk;
use crate::endpoint_protocol::EndpointProtocol;
use crate::job::Job;
use crate::outcome::{Counters, Observer, Outcome};
use crate::pace::Paces;
use crate::report::Report;
use crate::request::RequestInfo;
use crate::run::{Begun, MAX_ANSWER_BYTES};
use crate::settings::Settings;
use crate::station::Stations;
use crate::stream::Stream;
use crate::version_counters::{Ending, VersionCounters};
use crate::view::View;

/// The moment to come back to an instance that knows no configuration yet, in milliseconds.
const UNKNOWN_COMEBACK_MS: u64 = 300;

/// The statuses by which callers take a request for not run. An endpoint that worked on a request
/// may use them all the same, and must not be quoted then.
const PROMISES: &[u16] = &[408, 421, 429, 503];

/// The moment to come back, to another instance, in milliseconds.
const STOPPING_COMEBACK_MS: u64 = 50;

/// How long a request of a caller that names no time may take, in milliseconds.
const DEFAULT_BUDGET_MS: u64 = 60_000;

/// Answers requests.
pub struct Pipeline {
    desk: Rc<Desk>,
}

impl Pipeline {
    /// Makes a pipeline over a view.
    pub fn new(
        settings: Settings,
        face: Rc<dyn CallerProtocol>,
        protocol: Rc<dyn EndpointProtocol>,
        observer: Rc<dyn Observer>,
        clock: Arc<dyn Clock>,
        view: Arc<ArcSwap<View>>,
    ) -> Pipeline {
        let ladder = Cascade::new(&settings.keep_confidence);
        Pipeline {
            desk: Rc::new(Desk {
                settings,
                face,
                protocol,
                stations: Stations::default(),
                tally: Arc::default(),
                counters: Arc::default(),
                observer,
                clock,
                view,
                repeats: RefCell::default(),
                ladder,
                paces: Paces::default(),
                stopped: Cell::new(false),
            }),
        }
    }

    /// Refuses every further request, for the end of a planned stop.
    pub fn stop_accepting(&self) {
        self.desk.stopped.set(true);
    }

    /// Returns the outcomes by version.
    pub fn version_counters(&self) -> Arc<VersionCounters> {
        self.desk.tally.clone()
    }

    /// Returns the counts of requests.
    pub fn counters(&self) -> Arc<Counters> {
        self.desk.counters.clone()
    }

    async fn serve(&self, call: Request) -> Response {
        let desk = &self.desk;
        let view = desk.view();
        let report = Report {
            received: call.received_at,
            config: view.table.as_ref().map_or(0, |table| table.version()),
            view: view.generation,
            store_unreachable: view.store_unreachable,
        };
        let ask = match desk.face.decode(&call.head) {
            Ok(ask) => ask,
            Err(failure) => {
                let response = desk.face.encode_failure(None, &failure);
                report.write(desk, None, &Outcome::Failed(failure));
                return response;
            }
        };
        let admitted = if desk.stopped.get() {
            let failure = Failure::not_run(Reason::NotReady, "this instance is stopping");
            Err(failure.retry_after_ms(STOPPING_COMEBACK_MS))
        } else {
            admit(&view, &ask, call)
        };
        let mut job = match admitted {
            Ok(job) => job,
            Err(failure) => {
                let response = desk.face.encode_failure(Some(&ask), &failure);
                report.write_ask(desk, Some(&ask), None, &Outcome::Failed(failure));
                return response;
            }
        };
        desk.note_request(&job.service);
        if job.route.retry_safety.is_stream() {
            return self.serve_stream(job, report).await;
        }
        let guard = LeaveGuard::new(desk, &report, &job);
        let answered = answer_whole(desk, &mut job).await;
        guard.disarm();
        self.finish(&job, &report, answered)
    }

    fn finish(&self, job: &Job, report: &Report, answered: Result<Response, Failure>) -> Response {
        let desk = &self.desk;
        match answered {
            Ok(response) => {
                report.write(desk, Some(job), &Outcome::Answered(response.status));
                response
            }
            Err(failure) => {
                let own = job.own_failure.as_ref();
                if let Some(own) = own.filter(|own| !PROMISES.contains(&own.head.status)) {
                    let status = own.head.status;
                    report.write(desk, Some(job), &Outcome::Answered(status));
                    return pass_on(&own.head).body(own.body.clone());
                }
                let response = desk.face.encode_failure(Some(&job.ask), &failure);
                report.write(desk, Some(job), &Outcome::Failed(failure));
                response
            }
        }
    }

    async fn serve_stream(&self, mut job: Job, report: Report) -> Response {
        let desk = &self.desk;
        let guard = LeaveGuard::new(desk, &report, &job);
        let begun = begin_stream(desk, &mut job).await;
        guard.disarm();
        match begun {
            Ok(begun) => {
                let mut response = pass_on(&begun.head);
                let stream = Stream::new(desk.clone(), job, begun, report);
                response.body = Body::Stream(Box::new(stream));
                response
            }
            Err(failure) => self.finish(&job, &report, Err(failure)),
        }
    }
}

impl Handler for Pipeline {
    fn handle(&self, call: Request) -> LocalFuture<'_, Response> {
        Box::pin(self.serve(call))
    }

    fn limits(&self) -> Limits {
        let view = self.desk.view.load();
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

/// Writes the line on a request whose caller leaves before it is answered.
struct LeaveGuard<'a> {
    desk: &'a Rc<Desk>,
    report: &'a Report,
    id: Arc<str>,
    armed: bool,
}

impl<'a> LeaveGuard<'a> {
    fn new(desk: &'a Rc<Desk>, report: &'a Report, job: &Job) -> LeaveGuard<'a> {
        LeaveGuard {
            desk,
            report,
            id: job.ask.id.clone(),
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for LeaveGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let ask = RequestInfo {
            id: self.id.clone(),
            ..RequestInfo::default()
        };
        self.report
            .write_ask(self.desk, Some(&ask), None, &Outcome::CallerDisconnected);
    }
}

/// Finds the route, the workspace and the time of a request.
fn admit(view: &View, ask: &RequestInfo, call: Request) -> Result<Job, Failure> {
    let Some(table) = &view.table else {
        let failure = Failure::not_run(Reason::NotReady, "no configuration is known yet");
        return Err(failure.retry_after_ms(UNKNOWN_COMEBACK_MS));
    };
    let Some(route) = table.find(&ask.host, &ask.path) else {
        let detail = format!("no route for host '{}' and path '{}'", ask.host, ask.path);
        return Err(Failure::not_run(Reason::NotFound, detail));
    };
    let workspace = table.workspace(route, ask.key.as_deref());
    let workspace = workspace.map_err(|err| {
        let detail = match err {
            KeyError::Missing => "the request carries no key",
            KeyError::Unknown => "no workspace holds the request's key",
        };
        Failure::not_run(Reason::Unauthorized, detail)
    })?;
    let Some(target) = route.choose_target(fastrand::f64()) else {
        let detail = format!("route '{}' has no service", route.name);
        return Err(Failure::not_run(Reason::NoEndpoint, detail));
    };
    let remaining_ms = ask.remaining_ms.unwrap_or(DEFAULT_BUDGET_MS);
    let timeout_ms = route.timeout_ms.unwrap_or(u64::MAX);
    let deadline = call.received_at + Duration::from_millis(remaining_ms.min(timeout_ms));
    Ok(Job {
        ask: ask.clone(),
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
        size: None,
        escalated: false,
        confidence: None,
        last_endpoint: None,
        own_failure: None,
        call,
    })
}

fn max_connections(table: &Table, service: &Arc<str>) -> u32 {
    let service = table.service(service);
    service.map_or(u32::MAX, |service| service.max_connections)
}

/// Runs a request whose answer is sent on once it is whole.
async fn answer_whole(desk: &Rc<Desk>, job: &mut Job) -> Result<Response, Failure> {
    loop {
        let mut begun = job.dispatch(desk, None).await?;
        let whole = begun.exchange.read_to_end(MAX_ANSWER_BYTES);
        let body = relay::timeout_at(job.deadline, whole).await;
        let now_ms = desk.now_ms();
        match body {
            Ok(body) => {
                begun.seat.station.note_ended(false, now_ms);
                note_answered(desk, job, &begun);
                return Ok(pass_on(&begun.head).body(body));
            }
            Err(err) => {
                begun.seat.station.note_ended(true, now_ms);
                job.note_run(Verdict::Ran);
                job.log_send(&begun.endpoint, "answer cut", &err.to_string());
            }
        }
    }
}

fn note_answered(desk: &Desk, job: &Job, begun: &Begun) {
    let elapsed_ms = begun.sent_at.elapsed().as_millis() as u64;
    let ratio = desk.paces.note_answer(&job.kind(), elapsed_ms as f64);
    begun.seat.station.note_pace(ratio);
    let slow = elapsed_ms > job.route.objective_ms;
    let ending = if slow { Ending::Slow } else { Ending::Answered };
    job.note_tally(desk, &begun.endpoint, ending);
}

/// Begins a stream, on a larger model if the smaller one is not sure of its answer.
async fn begin_stream(desk: &Rc<Desk>, job: &mut Job) -> Result<Box<Begun>, Failure> {
    let chooses = job.ask.any_size && !job.route.model_sizes.is_empty();
    let largest = job.route.model_sizes.len().saturating_sub(1);
    if chooses {
        job.size = Some(desk.ladder.first_size(job.route.priority, largest));
    }
    let resume_after = job.ask.resume_after;
    loop {
        let begun = job.dispatch(desk, resume_after).await?;
        let Some(size) = job.size else {
            return Ok(begun);
        };
        job.confidence = begun.reply.confidence;
        let pressure = desk.paces.pressure(&job.service);
        tracing::info!(
            id = &*job.ask.id,
            session = job.ask.session.as_deref(),
            size,
            prompt_tokens = job.ask.token_usage.prompt_tokens,
            first_ms = begun.first.as_millis() as u64,
            endpoint = &*begun.endpoint.id,
            load = begun.seat.station.load(),
            reading_ms = begun.reading_ms as u64,
            confidence = job.confidence,
            pressure,
            "request: confidence"
        );
        if size == largest {
            let objective_ms = job.route.objective_ms.max(1) as f64;
            let first_ms = begun.first.as_millis() as f64;
            desk.paces
                .note_first_share(&job.service, first_ms / objective_ms);
        }
        if size == largest
            || desk
                .ladder
                .keeps(job.route.priority, begun.reply.confidence, pressure)
        {
            return Ok(begun);
        }
        if job.runs + 1 >= job.route.max_attempts || !may_escalate(desk, job) {
            return Ok(begun);
        }
        Counters::add(&desk.counters.escalated);
        drop(begun);
        job.note_run(Verdict::Ran);
        job.size = Some(largest);
        job.escalated = true;
        job.tried.clear();
    }
}

/// The part of the budget of repeats that larger models may use; the rest is for failures.
const ESCALATION_SHARE: f64 = 0.75;

fn may_escalate(desk: &Desk, job: &Job) -> bool {
    job.route.retry_safety != RetrySafety::NonIdempotentStream
        && desk.repeats_used(&job.service) < ESCALATION_SHARE
}

/// Returns an endpoint's head as it is passed on.
fn pass_on(head: &relay::ResponseHead) -> Response {
    let mut response = Response::new(head.status);
    response.headers = head.headers.end_to_end();
    response
}
