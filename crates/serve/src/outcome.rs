//! Outcomes of requests, with their counters and log records.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{Failure, Verdict};

use crate::late_runs::LateRunCounters;
use crate::request::RequestInfo;

/// How a request ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// An endpoint's response was forwarded, with this status.
    Answered(u16),
    /// The router refused the request or gave up.
    Failed(Failure),
    /// The response stream broke off, with the reason.
    StreamBroken(String),
    /// The caller disconnected first.
    CallerDisconnected,
}

/// Counts of requests by outcome.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that an endpoint answered.
    pub answered: AtomicU64,
    /// Requests that were refused and did not run.
    pub refused: AtomicU64,
    /// Requests that failed and may have run.
    pub failed: AtomicU64,
    /// Response streams that broke off.
    pub streams_broken: AtomicU64,
    /// Requests whose callers disconnected first.
    pub disconnected: AtomicU64,
    /// Sends after the first of a request.
    pub retries: AtomicU64,
    /// Retries that the budget did not allow.
    pub refused_retries: AtomicU64,
    /// Answers of smaller models that were discarded for the largest one.
    pub escalated: AtomicU64,
    /// Requests for which no endpoint was in a home region.
    pub without_home: AtomicU64,
    /// Requests handed over to a peer, once for each peer.
    pub handed_over: AtomicU64,
    /// Requests that peers handed over to this instance.
    pub carried: AtomicU64,
    /// Connections to endpoints for requests, established or not.
    pub connections_for_requests: AtomicU64,
    /// Connections to endpoints without a request, to learn whether they are in reach.
    pub connections_for_probes: AtomicU64,
    /// Connections opened to endpoints for health checks, established or not.
    pub connections_for_health_checks: AtomicU64,
    /// Runs that are not expected to end by their deadlines.
    pub late_runs: LateRunCounters,
}

/// Receives the outcome of every request, for instance for histograms.
pub trait Observer {
    /// Called once when a request ends, with its duration; `route` is `None` if it is not known.
    fn request_ended(&self, route: Option<&Arc<str>>, outcome: &Outcome, elapsed: Duration);

    /// Called for each send that is ordered, or refused, because capacity is short.
    fn request_ordered(&self, _priority: u8, _workspace: Option<&str>, _decision: &'static str) {}
}

/// What the log says of a stream when it ends.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamRecord {
    /// Framing of the endpoint's last response.
    pub(crate) framing: &'static str,
    /// Number of the last event that was forwarded.
    pub(crate) last_event: Option<u64>,
    /// Events of the last run, and runs that brought a part of the stream.
    pub(crate) run_events: u32,
    pub(crate) runs: u32,
}

/// Log record of one request.
pub(crate) struct LogRecord<'a> {
    pub(crate) info: Option<&'a RequestInfo>,
    pub(crate) route: Option<&'a Arc<str>>,
    pub(crate) endpoint: Option<&'a str>,
    /// Version that the last endpoint runs.
    pub(crate) version: Option<&'a str>,
    /// Index of the model size, and the confidence of the model from 0 to 100.
    pub(crate) size: Option<usize>,
    pub(crate) confidence: Option<u8>,
    pub(crate) sends: u32,
    /// How far a stream got, if the response is one.
    pub(crate) stream: Option<StreamRecord>,
    /// Names of the instances that the request was handed over to or by.
    pub(crate) carried_by: Option<&'a str>,
    pub(crate) carried_for: Option<&'a str>,
    /// Version of the configuration and generation of the view that applied.
    pub(crate) config: u64,
    pub(crate) view: u64,
    /// Whether the store was unreachable when the request arrived.
    pub(crate) store_unreachable: bool,
    pub(crate) elapsed: Duration,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an outcome and logs it.
    pub(crate) fn record(&self, record: &LogRecord<'_>, outcome: &Outcome) {
        let failure = match outcome {
            Outcome::Failed(failure) => Some(failure),
            _ => None,
        };
        let status = match outcome {
            Outcome::Answered(status) => Some(*status),
            _ => None,
        };
        let why = match outcome {
            Outcome::StreamBroken(why) => Some(&**why),
            _ => None,
        };
        Counters::add(self.counter(outcome));
        tracing::info!(
            id = record.info.map_or("", |info| &*info.id),
            route = record.route.map_or("", |route| &**route),
            endpoint = record.endpoint,
            version = record.version,
            size = record.size,
            confidence = record.confidence,
            status,
            why,
            reason = failure.map(|failure| failure.reason.as_str()),
            verdict = failure.map(|failure| failure.verdict.as_str()),
            detail = failure.map(|failure| &*failure.detail),
            retry_after_ms = failure.and_then(|failure| failure.retry_after_ms),
            sends = record.sends,
            framing = record.stream.map(|stream| stream.framing),
            last_event = record.stream.and_then(|stream| stream.last_event),
            run_events = record.stream.map(|stream| stream.run_events),
            runs = record.stream.map(|stream| stream.runs),
            carried_by = record.carried_by,
            carried_for = record.carried_for,
            config = record.config,
            view = record.view,
            store_away = record.store_unreachable,
            elapsed_ms = record.elapsed.as_millis() as u64,
            "request: {}",
            outcome.name()
        );
    }

    fn counter(&self, outcome: &Outcome) -> &AtomicU64 {
        match outcome {
            Outcome::Answered(_) => &self.answered,
            Outcome::Failed(failure) if failure.verdict == Verdict::NotRun => &self.refused,
            Outcome::Failed(_) => &self.failed,
            Outcome::StreamBroken(_) => &self.streams_broken,
            Outcome::CallerDisconnected => &self.disconnected,
        }
    }
}

impl Outcome {
    fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::Failed(_) => "failed",
            Outcome::StreamBroken(_) => "broke off",
            Outcome::CallerDisconnected => "caller left",
        }
    }
}
