//! What is declared of a service.

use std::sync::Arc;

/// One size of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSize {
    /// The model's name.
    pub name: Arc<str>,
    /// What 1,000 generated tokens cost.
    pub cost: f64,
}

/// What is declared of a service's model engines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// How many requests an engine runs at once.
    pub slots: u32,
    /// How many tokens an engine's memory holds.
    pub kv_cache_tokens: u64,
    /// The models, smallest first.
    pub model_sizes: Vec<ModelSize>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name.
    pub name: Arc<str>,
    /// The path of the health check.
    pub health_path: Arc<str>,
    /// The most connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// The model engines, if it is a pool of them.
    pub engine: Option<Engine>,
}
