//! One route.

use std::sync::Arc;

/// What may be done with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// Its answer is a stream that can go on at another endpoint after the last event received.
    ResumableStream,
    /// Its answer is a stream, and it runs at most once.
    NonIdempotentStream,
}

impl RetrySafety {
    /// Returns whether a request may run again after it may have run.
    pub fn may_retry(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            RetrySafety::ResumableStream | RetrySafety::NonIdempotentStream
        )
    }
}

/// A service with its share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's targets.
    pub weight: u32,
}

impl Target {
    /// Makes a target.
    pub fn new(service: &str, weight: u32) -> Target {
        Target {
            service: service.into(),
            weight,
        }
    }
}

/// How the requests of one host below one path are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, unique in the table.
    pub name: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// The longest that a caller is kept waiting, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The time to the answer, or to its first event, that callers hope for, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between events that callers bear, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// The priority, where 0 is the most urgent.
    pub priority: u8,
    /// The model model_sizes among which the router chooses, smallest first; empty if callers choose.
    pub model_sizes: Vec<Arc<str>>,
    /// The services that serve it.
    pub targets: Vec<Target>,
    /// The most endpoints on which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests share prompt parts that endpoints keep.
    pub prefix_affinity: bool,
}

/// The attempts of a route that declares none.
const DEFAULT_ATTEMPTS: u32 = 2;

/// The objective of a route that declares none, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 1_000;

impl Route {
    /// Makes a route without targets.
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
            max_attempts: DEFAULT_ATTEMPTS,
            public: false,
            prefix_affinity: false,
        }
    }

    /// Adds a target.
    pub fn with_target(mut self, target: Target) -> Route {
        self.targets.push(target);
        self
    }

    /// Sets what may be repeated.
    pub fn retry_safety(mut self, retry_safety: RetrySafety) -> Route {
        self.retry_safety = retry_safety;
        self
    }

    /// Sets the model model_sizes.
    pub fn model_sizes(mut self, model_sizes: &[&str]) -> Route {
        self.model_sizes = model_sizes.iter().map(|size| Arc::from(*size)).collect();
        self
    }

    /// Sets the most endpoints on which one request may run.
    pub fn max_attempts(mut self, attempts: u32) -> Route {
        self.max_attempts = attempts;
        self
    }

    /// Sets the longest that a caller is kept waiting.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Route {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    /// Sets the objective.
    pub fn objective_ms(mut self, objective_ms: u64) -> Route {
        self.objective_ms = objective_ms;
        self
    }

    /// Sets whether callers need no key.
    pub fn public(mut self, public: bool) -> Route {
        self.public = public;
        self
    }

    /// Chooses a target by weight with a random number below 1.
    pub fn choose_target(&self, uniform: f64) -> Option<&Target> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut left = (uniform * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(target);
            }
            left -= weight;
        }
        self.targets.last().filter(|_| total > 0)
    }
}
