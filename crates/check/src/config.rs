//! A configuration as the operator wrote it.

use std::fmt;

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Version, which rises with each change.
    pub version: u64,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services, in the order of the document.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Option<Limits>,
    /// Workspaces; without any, callers need no keys.
    pub workspaces: Vec<Workspace>,
}

impl Config {
    /// Returns whether routes that are not public require a key.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }
}

/// One route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Kind of the route, as written.
    pub kind: String,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Whether a request that may have run may be sent again.
    pub may_retry: bool,
    /// Upper bound on a request's deadline.
    pub timeout_ms: Option<f64>,
    /// Latency objective.
    pub objective_ms: Option<f64>,
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// Model sizes, smallest first.
    pub model_sizes: Vec<String>,
    /// Services with their weights.
    pub splits: Vec<Split>,
    /// Whether the traffic is split; otherwise there is at most one service.
    pub is_split: bool,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: Option<u32>,
    /// Whether requests without an API key are accepted.
    pub public: bool,
    /// Whether requests that share a prompt prefix go to the same endpoint.
    pub prefix_affinity: bool,
    /// Whether streams are declared resumable.
    pub resumable: bool,
    /// Longest gap between events.
    pub max_gap_ms: Option<f64>,
    /// Regions in which requests may run.
    pub homes: Option<Homes>,
}

/// Share of a route's traffic that a service receives.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Weight, relative to the sum over the route.
    pub weight: f64,
}

/// One service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one endpoint accepts from all clients together.
    pub max_connections: Option<u32>,
    /// How long an endpoint is cold after its start.
    pub cold_start_s: Option<Number>,
    /// Requests per second that a cold endpoint takes.
    pub cold_per_s: Option<Number>,
    /// Model engines.
    pub engine: Option<Engine>,
}

/// Value of a field in which the operator may have written anything.
#[derive(Debug, Clone, PartialEq)]
pub enum Number {
    /// A number.
    Readable(f64),
    /// Anything else, as written, which is ignored.
    Unreadable(String),
}

impl Number {
    /// Returns the number, if it is one.
    pub fn value(&self) -> Option<f64> {
        match self {
            Number::Readable(value) => Some(*value),
            Number::Unreadable(_) => None,
        }
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Number::Readable(value) => value.fmt(f),
            Number::Unreadable(text) => text.fmt(f),
        }
    }
}

/// Home regions, in place of which the operator may have written anything.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Homes {
    /// Names of regions. Without any, the list is ignored.
    Regions(Vec<String>),
    /// Anything else, as written, which is ignored.
    Unreadable(String),
}

/// Model engines of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Model sizes, smallest first.
    pub models: Vec<Model>,
}

/// One model size.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Cost of 1,000 generated tokens.
    pub cost: f64,
}

/// Limits on callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_head_bytes: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Time within which a whole request must arrive.
    pub arrival_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

/// One workspace. Its keys are secret and never part of a message.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may run.
    pub homes: Option<Homes>,
}

impl fmt::Debug for Workspace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspace")
            .field("name", &self.name)
            .field("key_count", &self.keys.len())
            .field("priority", &self.priority)
            .field("homes", &self.homes)
            .finish()
    }
}
