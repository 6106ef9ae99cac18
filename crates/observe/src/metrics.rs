//! Counters and histograms as text.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::Verdict;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use relay::{Handler, LocalFuture, Request, Response};
use serve::{Counters, Observer, Outcome};

/// The upper bound of the first bucket of request times, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;

/// The number of buckets, each twice as wide as the one before: up to some 20 seconds.
const BUCKETS: u16 = 13;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

/// All metrics of one instance.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    times: Family<RouteLabel, Histogram>,
    repeats: Gauge<u64, AtomicU64>,
    escalated: Gauge<u64, AtomicU64>,
    logs_left_out: Gauge<u64, AtomicU64>,
}

fn times() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("rosemary");
        let requests = Family::<RequestLabels, Counter>::default();
        let times: Family<RouteLabel, Histogram> = Family::new_with_constructor(times);
        let repeats = Gauge::default();
        let escalated = Gauge::default();
        let logs_left_out = Gauge::default();
        registry.register("requests", "Requests by how they ended", requests.clone());
        registry.register(
            "request_seconds",
            "Time to the end of a request",
            times.clone(),
        );
        registry.register(
            "repeats",
            "Sends beyond the first of a request",
            repeats.clone(),
        );
        registry.register(
            "escalations",
            "Answers of small models that were not kept",
            escalated.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines that found no room",
            logs_left_out.clone(),
        );
        Metrics {
            registry,
            requests,
            times,
            repeats,
            escalated,
            logs_left_out,
        }
    }
}

impl Metrics {
    /// Takes over counts that others keep.
    pub fn sync_counters(&self, counters: &Counters, logs_left_out: u64) {
        self.repeats.set(counters.retries.load(Ordering::Relaxed));
        self.escalated
            .set(counters.escalated.load(Ordering::Relaxed));
        self.logs_left_out.set(logs_left_out);
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string fails only if a metric does, which is a fault to see.
        if let Err(err) = encode(&mut text, &self.registry) {
            tracing::error!(error = %err, "metrics: not written");
        }
        text
    }
}

impl Observer for Metrics {
    fn request_ended(&self, route: Option<&Arc<str>>, outcome: &Outcome, elapsed: Duration) {
        let route = route.map_or_else(|| "none".to_owned(), |route| route.to_string());
        let outcome = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Failed(failure) if failure.verdict == Verdict::NotRun => "refused",
            Outcome::Failed(_) => "failed",
            Outcome::StreamBroken(_) => "broken",
            Outcome::CallerDisconnected => "left",
        };
        let labels = RequestLabels {
            route: route.clone(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let times = self.times.get_or_create(&RouteLabel { route });
        times.observe(elapsed.as_secs_f64());
    }
}

/// Serves the metrics.
pub struct MetricsHandler {
    /// The metrics.
    pub metrics: Rc<Metrics>,
    /// Counts that the pipeline keeps.
    pub counters: Arc<Counters>,
    /// Returns how many log lines found no room.
    pub dropped_log_lines: Box<dyn Fn() -> u64>,
}

impl Handler for MetricsHandler {
    fn handle(&self, _call: Request) -> LocalFuture<'_, Response> {
        self.metrics
            .sync_counters(&self.counters, (self.dropped_log_lines)());
        let response = Response::new(200)
            .header("Content-Type", "text/plain; version=0.0.4")
            .body(self.metrics.text());
        Box::pin(async move { response })
    }
}
