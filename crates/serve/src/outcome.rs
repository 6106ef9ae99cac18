//! What is written down of each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{Failure, Verdict};

use crate::request::RequestInfo;

/// How a request ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// With an endpoint's answer of this status.
    Answered(u16),
    /// With a refusal or failure of our own.
    Failed(Failure),
    /// With a stream that broke off.
    StreamBroken(String),
    /// The caller left first.
    CallerDisconnected,
}

/// Counts of what became of requests.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests answered by an endpoint.
    pub answered: AtomicU64,
    /// Requests refused that did not run.
    pub refused: AtomicU64,
    /// Requests failed that may have run.
    pub failed: AtomicU64,
    /// Streams that broke off.
    pub streams_broken: AtomicU64,
    /// Requests whose callers left.
    pub disconnected: AtomicU64,
    /// Sends beyond the first of a request.
    pub retries: AtomicU64,
    /// Answers of small models that were not kept.
    pub escalated: AtomicU64,
}

/// Sees every request end, for instance to keep histograms.
pub trait Observer {
    /// Notes the end of a request.
    fn request_ended(&self, route: Option<&Arc<str>>, outcome: &Outcome, elapsed: Duration);
}

/// The line on one request.
pub(crate) struct Line<'a> {
    pub(crate) ask: Option<&'a RequestInfo>,
    pub(crate) route: Option<&'a Arc<str>>,
    pub(crate) endpoint: Option<&'a str>,
    /// The version that the last endpoint runs.
    pub(crate) version: Option<&'a str>,
    /// The model's size and how sure the model was.
    pub(crate) size: Option<usize>,
    pub(crate) confidence: Option<u8>,
    pub(crate) sends: u32,
    /// The version of the configuration that decided, and the number of the view.
    pub(crate) config: u64,
    pub(crate) view: u64,
    /// Whether the store did not answer this instance at that time.
    pub(crate) store_unreachable: bool,
    pub(crate) elapsed: Duration,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an outcome and logs it.
    pub(crate) fn write(&self, line: &Line<'_>, outcome: &Outcome) {
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
            id = line.ask.map_or("", |ask| &*ask.id),
            route = line.route.map_or("", |route| &**route),
            endpoint = line.endpoint,
            version = line.version,
            size = line.size,
            confidence = line.confidence,
            status,
            why,
            reason = failure.map(|failure| failure.reason.as_str()),
            verdict = failure.map(|failure| failure.verdict.as_str()),
            detail = failure.map(|failure| &*failure.detail),
            retry_after_ms = failure.and_then(|failure| failure.retry_after_ms),
            sends = line.sends,
            config = line.config,
            view = line.view,
            store_away = line.store_unreachable,
            elapsed_ms = line.elapsed.as_millis() as u64,
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
