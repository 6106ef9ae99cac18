//! Declared services and their model engines.

use std::sync::Arc;

/// One size of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSize {
    /// Name of the model.
    pub name: Arc<str>,
    /// Cost of 1,000 generated tokens.
    pub cost: f64,
}

/// Declared properties of a service's model engines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Model sizes, smallest first.
    pub model_sizes: Vec<ModelSize>,
}

/// How endpoints of a service are cold after they start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// Requests per second that a cold endpoint takes from all instances together, above 0.
    pub per_s: f64,
}

/// A service, which runs at one or more endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
    /// Model engines, or `None` for a plain service.
    pub engine: Option<Engine>,
    /// How its endpoints are cold, or `None` if they never are.
    pub cold: Option<ColdStart>,
}
