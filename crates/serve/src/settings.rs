//! What the pipeline is told at start.

use std::sync::Arc;

use limits::WindowedRetrySettings;

/// Settings of the pipeline.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The availability zone of this instance.
    pub zone: Arc<str>,
    /// The budget of repeated sends of each service.
    pub retry_window: WindowedRetrySettings,
    /// How long connecting to an endpoint may take, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The confidence from which on a small model's answer is kept, by the route's rank.
    pub keep_confidence: Vec<u8>,
}

/// How long connecting may take: the way to another zone and back several times over, in
/// milliseconds. A lost first packet is sent again only after a second.
const CONNECT_TIMEOUT_MS: u64 = 150;

impl Settings {
    /// Makes settings for a zone.
    pub fn new(zone: &str, retry_window: WindowedRetrySettings) -> Settings {
        Settings {
            zone: zone.into(),
            retry_window,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            keep_confidence: Vec::new(),
        }
    }

    /// Sets from which confidence on a small model's answer is kept, by rank.
    pub fn keep_confidence(mut self, keep: &[u8]) -> Settings {
        self.keep_confidence = keep.to_vec();
        self
    }

    /// Sets how long connecting may take.
    pub fn connect_timeout_ms(mut self, timeout_ms: u64) -> Settings {
        self.connect_timeout_ms = timeout_ms;
        self
    }
}
