//! What is written down of each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{Failure, Verdict};

use crate::ask::Ask;

/// How a request ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// With an endpoint's answer of this status.
    Answered(u16),
    /// With a refusal or failure of our own.
    Failed(Failure),
    /// With a stream that broke off.
    Broken(String),
    /// The caller left first.
    Left,
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
    pub broken: AtomicU64,
    /// Requests whose callers left.
    pub left: AtomicU64,
    /// Sends beyond the first of a request.
    pub repeats: AtomicU64,
    /// Answers of small models that were not kept.
    pub escalated: AtomicU64,
}

/// Sees every request end, for instance to keep histograms.
pub trait Observer {
    /// Notes the end of a request.
    fn ended(&self, route: Option<&Arc<str>>, outcome: &Outcome, elapsed: Duration);
}

/// The line on one request.
pub(crate) struct Line<'a> {
    pub(crate) ask: Option<&'a Ask>,
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
    pub(crate) store_away: bool,
    pub(crate) elapsed: Duration,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an outcome and logs it.
    pub(crate) fn write(&self, line: &Line<'_>, outcome: &Outcome) {
        let id = line.ask.map_or("", |ask| &*ask.id);
        let route = line.route.map_or("", |route| &**route);
        let endpoint = line.endpoint.unwrap_or("");
        let elapsed_ms = line.elapsed.as_millis() as u64;
        match outcome {
            Outcome::Answered(status) => {
                Counters::add(&self.answered);
                tracing::info!(
                    id,
                    route,
                    endpoint,
                    version = line.version,
                    size = line.size,
                    confidence = line.confidence,
                    status,
                    sends = line.sends,
                    config = line.config,
                    view = line.view,
                    store_away = line.store_away,
                    elapsed_ms,
                    "request: answered"
                );
            }
            Outcome::Failed(failure) => {
                Counters::add(if failure.verdict == Verdict::NotRun {
                    &self.refused
                } else {
                    &self.failed
                });
                tracing::info!(
                    id,
                    route,
                    endpoint,
                    reason = failure.reason.as_str(),
                    verdict = failure.verdict.as_str(),
                    detail = failure.detail,
                    retry_after_ms = failure.retry_after_ms,
                    sends = line.sends,
                    config = line.config,
                    view = line.view,
                    store_away = line.store_away,
                    elapsed_ms,
                    "request: failed"
                );
            }
            Outcome::Broken(why) => {
                Counters::add(&self.broken);
                tracing::info!(
                    id,
                    route,
                    endpoint,
                    why,
                    sends = line.sends,
                    config = line.config,
                    view = line.view,
                    store_away = line.store_away,
                    elapsed_ms,
                    "request: broke off"
                );
            }
            Outcome::Left => {
                Counters::add(&self.left);
                tracing::info!(
                    id,
                    route,
                    endpoint,
                    sends = line.sends,
                    config = line.config,
                    view = line.view,
                    store_away = line.store_away,
                    elapsed_ms,
                    "request: caller left"
                );
            }
        }
    }
}
