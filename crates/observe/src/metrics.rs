//! Counters and histograms in the Prometheus text format.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use control::FetchCounters;
use kernel::Verdict;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use relay::{Capacity, CloseReason, Handler, LocalFuture, Purpose, Request, Response};
use serve::{Counters, Observer, Outcome, SharedLoads};

/// The upper bound of the first bucket of request times, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;

/// The number of buckets, each bound twice the one before: up to about 20 seconds.
const BUCKET_COUNT: u16 = 13;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabel {
    purpose: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ColdLabel {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabel {
    decision: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FetchLabel {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    priority: u8,
    workspace: String,
    decision: &'static str,
}

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    durations: Family<RouteLabel, Histogram>,
    ordered: Family<OrderLabels, Counter>,
    retries: Gauge<u64, AtomicU64>,
    refused_retries: Gauge<u64, AtomicU64>,
    without_home: Gauge<u64, AtomicU64>,
    handed_over: Gauge<u64, AtomicU64>,
    carried: Gauge<u64, AtomicU64>,
    escalated: Gauge<u64, AtomicU64>,
    late_runs: Family<DecisionLabel, Gauge<u64, AtomicU64>>,
    dropped_log_lines: Gauge<u64, AtomicU64>,
    fetches: Family<FetchLabel, Gauge<u64, AtomicU64>>,
    fetched_bytes: Gauge<u64, AtomicU64>,
    endpoints_out_of_reach: Gauge<u64, AtomicU64>,
    endpoints_of_learned_speed: Gauge<u64, AtomicU64>,
    speed_samples: Gauge<u64, AtomicU64>,
    endpoint_connections: Family<ConnectionLabel, Gauge<u64, AtomicU64>>,
    blocked_requests: Gauge<u64, AtomicU64>,
    blocked_prompt_parts: Gauge<u64, AtomicU64>,
    caller_memory: Family<ConnectionLabel, Gauge<u64, AtomicU64>>,
    caller_memory_budget: Gauge<u64, AtomicU64>,
    caller_connections: Gauge<u64, AtomicU64>,
    closed_connections: Family<ReasonLabel, Gauge<u64, AtomicU64>>,
    evacuated_zones: Gauge<u64, AtomicU64>,
    cold_requests: Family<ColdLabel, Gauge<u64, AtomicU64>>,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("rosemary");
        let requests = Family::<RequestLabels, Counter>::default();
        let durations: Family<RouteLabel, Histogram> =
            Family::new_with_constructor(duration_histogram);
        let ordered = Family::<OrderLabels, Counter>::default();
        let retries = Gauge::default();
        let refused_retries = Gauge::default();
        let without_home = Gauge::default();
        let handed_over = Gauge::default();
        let carried = Gauge::default();
        let escalated = Gauge::default();
        let late_runs = Family::<DecisionLabel, Gauge<u64, AtomicU64>>::default();
        let dropped_log_lines = Gauge::default();
        let fetches = Family::<FetchLabel, Gauge<u64, AtomicU64>>::default();
        let fetched_bytes = Gauge::default();
        let endpoints_out_of_reach = Gauge::default();
        let endpoints_of_learned_speed = Gauge::default();
        let speed_samples = Gauge::default();
        let endpoint_connections = Family::<ConnectionLabel, Gauge<u64, AtomicU64>>::default();
        let blocked_requests = Gauge::default();
        let blocked_prompt_parts = Gauge::default();
        let caller_memory = Family::<ConnectionLabel, Gauge<u64, AtomicU64>>::default();
        let caller_memory_budget = Gauge::default();
        let caller_connections = Gauge::default();
        let closed_connections = Family::<ReasonLabel, Gauge<u64, AtomicU64>>::default();
        let evacuated_zones = Gauge::default();
        let cold_requests = Family::<ColdLabel, Gauge<u64, AtomicU64>>::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register(
            "request_seconds",
            "Duration of requests, to the end of the response",
            durations.clone(),
        );
        registry.register(
            "ordered_requests",
            "Sends ordered or refused while capacity was short, by priority, workspace and decision",
            ordered.clone(),
        );
        registry.register(
            "repeats",
            "Retries: sends of a request beyond the first",
            retries.clone(),
        );
        registry.register(
            "refused_repeats",
            "Retries that the retry budget did not allow",
            refused_retries.clone(),
        );
        registry.register(
            "without_home",
            "Requests for which no endpoint was in a home region",
            without_home.clone(),
        );
        registry.register(
            "handed_over",
            "Requests handed over to a peer, once for each peer",
            handed_over.clone(),
        );
        registry.register(
            "carried",
            "Requests that peers handed over to this instance",
            carried.clone(),
        );
        registry.register(
            "escalations",
            "Answers of small models that were discarded for a larger model",
            escalated.clone(),
        );
        registry.register(
            "late_runs",
            "Runs not expected to end by their deadlines, by what was done",
            late_runs.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines dropped because the buffer was full",
            dropped_log_lines.clone(),
        );
        registry.register(
            "peer_fetches",
            "Fetches of objects from other instances, by outcome",
            fetches.clone(),
        );
        registry.register(
            "peer_fetch_bytes",
            "Bytes that fetches from other instances moved",
            fetched_bytes.clone(),
        );
        registry.register(
            "endpoints_out_of_reach",
            "Endpoints to which the last connection was not established",
            endpoints_out_of_reach.clone(),
        );
        registry.register(
            "endpoints_of_learned_speed",
            "Endpoints that are known to differ in speed from others of their version",
            endpoints_of_learned_speed.clone(),
        );
        registry.register(
            "speed_samples",
            "Samples of the speeds of endpoints by this instance's streams",
            speed_samples.clone(),
        );
        registry.register(
            "endpoint_connections",
            "Connections opened to endpoints, by purpose",
            endpoint_connections.clone(),
        );
        registry.register(
            "blocked_requests",
            "Requests that are refused because they crash endpoints",
            blocked_requests.clone(),
        );
        registry.register(
            "blocked_prompt_parts",
            "Prompt parts whose requests are refused because they crash endpoints",
            blocked_prompt_parts.clone(),
        );
        registry.register(
            "caller_memory_bytes",
            "Memory that connections to this instance hold, by purpose",
            caller_memory.clone(),
        );
        registry.register(
            "caller_memory_budget_bytes",
            "Memory that connections to this instance may hold",
            caller_memory_budget.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections to this instance",
            caller_connections.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections closed or refused for lack of memory or descriptors, by reason",
            closed_connections.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones with an order of evacuation",
            evacuated_zones.clone(),
        );
        registry.register(
            "cold_endpoint_requests",
            "Requests sent to cold endpoints, and choices that passed over some",
            cold_requests.clone(),
        );
        Metrics {
            registry,
            requests,
            durations,
            ordered,
            retries,
            refused_retries,
            without_home,
            handed_over,
            carried,
            escalated,
            late_runs,
            dropped_log_lines,
            fetches,
            fetched_bytes,
            endpoints_out_of_reach,
            endpoints_of_learned_speed,
            speed_samples,
            endpoint_connections,
            blocked_requests,
            blocked_prompt_parts,
            caller_memory,
            caller_memory_budget,
            caller_connections,
            closed_connections,
            evacuated_zones,
            cold_requests,
        }
    }
}

impl Metrics {
    /// Copies the pipeline's counters and the number of dropped log lines into the gauges.
    pub fn sync_counters(&self, counters: &Counters, dropped_log_lines: u64) {
        self.retries.set(counters.retries.load(Ordering::Relaxed));
        self.refused_retries
            .set(counters.refused_retries.load(Ordering::Relaxed));
        self.without_home
            .set(counters.without_home.load(Ordering::Relaxed));
        self.handed_over
            .set(counters.handed_over.load(Ordering::Relaxed));
        self.carried.set(counters.carried.load(Ordering::Relaxed));
        self.escalated
            .set(counters.escalated.load(Ordering::Relaxed));
        self.dropped_log_lines.set(dropped_log_lines);
        let late_runs = &counters.late_runs;
        for (decision, count) in [
            ("kept", &late_runs.kept),
            ("smaller", &late_runs.smaller),
            ("moved", &late_runs.moved),
            ("refused", &late_runs.refused),
            ("goes_on", &late_runs.goes_on),
        ] {
            self.late_runs
                .get_or_create(&DecisionLabel { decision })
                .set(count.load(Ordering::Relaxed));
        }
        for (purpose, count) in [
            ("request", &counters.connections_for_requests),
            ("probe", &counters.connections_for_probes),
            ("health_check", &counters.connections_for_health_checks),
        ] {
            self.endpoint_connections
                .get_or_create(&ConnectionLabel { purpose })
                .set(count.load(Ordering::Relaxed));
        }
    }

    /// Copies the counts of fetches from other instances into the gauges.
    pub fn sync_fetches(&self, counters: &FetchCounters) {
        for (outcome, count) in [
            ("completed", &counters.completed),
            ("failed", &counters.failed),
            ("abandoned", &counters.abandoned),
        ] {
            self.fetches
                .get_or_create(&FetchLabel { outcome })
                .set(count.load(Ordering::Relaxed));
        }
        self.fetched_bytes
            .set(counters.bytes.load(Ordering::Relaxed));
    }

    /// Copies what is known of the endpoints into the gauges.
    pub fn sync_endpoints(&self, loads: &SharedLoads) {
        self.endpoints_out_of_reach
            .set(loads.out_of_reach().len() as u64);
        let paces = loads.paces();
        self.endpoints_of_learned_speed.set(paces.learned());
        self.speed_samples.set(paces.samples());
        let crashes = loads.crashes();
        self.blocked_requests.set(crashes.blocked_requests() as u64);
        self.blocked_prompt_parts
            .set(crashes.blocked_parts() as u64);
        let cold = loads.cold();
        for (result, count) in [("sent", &cold.sent), ("withheld", &cold.withheld)] {
            self.cold_requests
                .get_or_create(&ColdLabel { result })
                .set(count.load(Ordering::Relaxed));
        }
    }

    /// Copies what connections to this instance use into the gauges.
    pub fn sync_capacity(&self, capacity: &Capacity) {
        let memory = capacity.memory();
        for purpose in Purpose::ALL {
            let label = ConnectionLabel {
                purpose: purpose.as_str(),
            };
            self.caller_memory
                .get_or_create(&label)
                .set(memory.purpose_bytes(purpose));
        }
        let label = ConnectionLabel { purpose: "answers" };
        self.caller_memory
            .get_or_create(&label)
            .set(memory.answer_bytes());
        self.caller_memory_budget.set(memory.budget_bytes());
        self.caller_connections.set(capacity.connections() as u64);
        for reason in CloseReason::ALL {
            let label = ReasonLabel {
                reason: reason.as_str(),
            };
            self.closed_connections
                .get_or_create(&label)
                .set(capacity.closed(reason));
        }
    }

    /// Sets the number of zones with an order of evacuation.
    pub fn set_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.set(zones as u64);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Encoding into a string fails only if a metric cannot be encoded, which is a bug.
        if let Err(err) = encode(&mut text, &self.registry) {
            tracing::error!(error = %err, "metrics: cannot encode");
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
        let durations = self.durations.get_or_create(&RouteLabel { route });
        durations.observe(elapsed.as_secs_f64());
    }

    fn request_ordered(&self, priority: u8, workspace: Option<&str>, decision: &'static str) {
        let labels = OrderLabels {
            priority,
            workspace: workspace.unwrap_or_default().to_owned(),
            decision,
        };
        self.ordered.get_or_create(&labels).inc();
    }
}

/// HTTP handler that serves the metrics as text.
pub struct MetricsHandler {
    /// The metrics to serve.
    pub metrics: Rc<Metrics>,
    /// The pipeline's counters, copied into the metrics on each request.
    pub counters: Arc<Counters>,
    /// The counts of fetches from other instances, copied likewise.
    pub fetch_counters: Arc<FetchCounters>,
    /// What is known of endpoints, counted likewise.
    pub shared_loads: Arc<SharedLoads>,
    /// The capacity for connections, copied likewise.
    pub capacity: Rc<Capacity>,
    /// Returns the number of zones with an order of evacuation.
    pub evacuated_zones: Box<dyn Fn() -> usize>,
    /// Returns the number of log lines dropped since the start.
    pub dropped_log_lines: Box<dyn Fn() -> u64>,
}

impl Handler for MetricsHandler {
    fn handle(&self, _call: Request) -> LocalFuture<'_, Response> {
        self.metrics
            .sync_counters(&self.counters, (self.dropped_log_lines)());
        self.metrics.sync_fetches(&self.fetch_counters);
        self.metrics.sync_endpoints(&self.shared_loads);
        self.metrics.sync_capacity(&self.capacity);
        self.metrics.set_evacuated_zones((self.evacuated_zones)());
        let response = Response::new(200)
            .header("Content-Type", "text/plain; version=0.0.4")
            .body(self.metrics.text());
        Box::pin(async move { response })
    }
}
