//! Routes and their targets.

use std::sync::Arc;

/// Timeout of a request whose caller sends no deadline, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Whether a request may be retried after an endpoint may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running the request several times is safe.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
    /// The response is a stream that another endpoint can resume after the last event received.
    ResumableStream,
    /// The response is a stream, and the request must run at most once.
    NonIdempotentStream,
}

impl RetrySafety {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            RetrySafety::ResumableStream | RetrySafety::NonIdempotentStream
        )
    }
}

/// A service with its weight in a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service, relative to the sum over the route's targets.
    pub weight: u32,
}

impl Target {
    /// Creates a target.
    pub fn new(service: &str, weight: u32) -> Target {
        Target {
            service: service.into(),
            weight,
        }
    }
}

/// Rules for requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Host name in lower case, without a port.
    pub host: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub retry_safety: RetrySafety,
    /// Upper bound on a request's deadline, in milliseconds from its arrival.
    pub timeout_ms: Option<u64>,
    /// Latency objective for the response, or for the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Longest gap between the events of a stream that callers accept, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// Model sizes from which the router chooses, smallest first; empty if callers name the model.
    pub model_sizes: Vec<Arc<str>>,
    /// Services that handle the requests.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub public: bool,
    /// Whether requests that share a prompt prefix should go to the same endpoint, for its cache.
    pub prefix_affinity: bool,
    /// Regions in which requests may run, or `None` for all.
    pub homes: Option<Arc<[Arc<str>]>>,
}

const DEFAULT_MAX_ATTEMPTS: u32 = 2;

const DEFAULT_OBJECTIVE_MS: u64 = 1_000;

impl Route {
    /// Creates a non-idempotent route without targets.
    pub fn new(name: &str, host: &str, prefix: &str) -> Route {
        Route {
            name: name.into(),
            host: host.into(),
            prefix: prefix.into(),
            retry_safety: RetrySafety::NonIdempotent,
            timeout_ms: None,
            objective_ms: DEFAULT_OBJECTIVE_MS,
            max_gap_ms: None,
            priority: 0,
            model_sizes: Vec::new(),
            targets: Vec::new(),
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            public: false,
            prefix_affinity: false,
            homes: None,
        }
    }

    /// Adds a target.
    pub fn with_target(mut self, target: Target) -> Route {
        self.targets.push(target);
        self
    }

    /// Sets whether requests may be retried.
    pub fn retry_safety(mut self, retry_safety: RetrySafety) -> Route {
        self.retry_safety = retry_safety;
        self
    }

    /// Sets the model sizes from which the router chooses, smallest first.
    pub fn model_sizes(mut self, model_sizes: &[&str]) -> Route {
        self.model_sizes = model_sizes.iter().map(|size| Arc::from(*size)).collect();
        self
    }

    /// Sets the maximum number of endpoints that may run one request.
    pub fn max_attempts(mut self, attempts: u32) -> Route {
        self.max_attempts = attempts;
        self
    }

    /// Sets the upper bound on a request's deadline, in milliseconds from its arrival.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Route {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    /// Sets the latency objective, in milliseconds.
    pub fn objective_ms(mut self, objective_ms: u64) -> Route {
        self.objective_ms = objective_ms;
        self
    }

    /// Sets the regions in which requests may run.
    pub fn homes(mut self, homes: &[&str]) -> Route {
        self.homes = Some(homes.iter().map(|home| Arc::from(*home)).collect());
        self
    }

    /// Sets whether requests without an API key are accepted.
    pub fn public(mut self, public: bool) -> Route {
        self.public = public;
        self
    }

    /// Returns the target that is a service, if the route leads there.
    pub fn target(&self, service: &str) -> Option<&Target> {
        let mut targets = self.targets.iter();
        targets.find(|target| *target.service == *service && target.weight > 0)
    }

    /// Chooses a target by weight.
    ///
    /// `uniform` is a random number in `[0, 1)`. Returns `None` if no target has a weight above 0.
    pub fn choose_target(&self, uniform: f64) -> Option<&Target> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = (uniform * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(target);
            }
            remaining -= weight;
        }
        self.targets.last().filter(|_| total > 0)
    }
}
