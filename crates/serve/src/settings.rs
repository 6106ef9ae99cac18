//! Settings of the pipeline.

use std::sync::Arc;

use limits::WindowedRetrySettings;

/// Settings of the pipeline, fixed at start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of this instance.
    pub zone: Arc<str>,
    /// Retry window of each service.
    pub retry_window: WindowedRetrySettings,
    /// Timeout for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Lowest confidence at which a small model's answer is kept, from 0 to 100, by priority.
    pub keep_confidence: Vec<u8>,
}

/// Several round trips to another zone. A lost SYN is retransmitted only after a second.
const CONNECT_TIMEOUT_MS: u64 = 150;

impl Settings {
    /// Creates settings for a zone.
    pub fn new(zone: &str, retry_window: WindowedRetrySettings) -> Settings {
        Settings {
            zone: zone.into(),
            retry_window,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            keep_confidence: Vec::new(),
        }
    }

    /// Sets the lowest confidence at which a small model's answer is kept, by priority.
    pub fn keep_confidence(mut self, keep: &[u8]) -> Settings {
        self.keep_confidence = keep.to_vec();
        self
    }

    /// Sets the timeout for connecting to an endpoint, in milliseconds.
    pub fn connect_timeout_ms(mut self, timeout_ms: u64) -> Settings {
        self.connect_timeout_ms = timeout_ms;
        self
    }
}
