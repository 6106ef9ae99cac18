//! Bounds on what a caller may take.

/// Bounds on connections, sizes and times of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The most open connections.
    pub max_connections: usize,
    /// How long a connection may wait between requests, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How long a request body may take, in milliseconds.
    pub body_timeout_ms: u64,
    /// How long a write may make no progress, in milliseconds.
    pub write_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 4 << 20,
            max_connections: 4096,
            idle_timeout_ms: 60_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 20_000,
        }
    }
}

impl Limits {
    /// Sets the largest request body.
    pub fn max_body_bytes(mut self, value: u64) -> Limits {
        self.max_body_bytes = value;
        self
    }

    /// Sets the most open connections.
    pub fn max_connections(mut self, value: usize) -> Limits {
        self.max_connections = value;
        self
    }

    /// Sets how long a connection may wait between requests.
    pub fn idle_timeout_ms(mut self, value: u64) -> Limits {
        self.idle_timeout_ms = value;
        self
    }

    /// Sets how long a request body may take.
    pub fn body_timeout_ms(mut self, value: u64) -> Limits {
        self.body_timeout_ms = value;
        self
    }

    /// Sets how long a write may make no progress.
    pub fn write_timeout_ms(mut self, value: u64) -> Limits {
        self.write_timeout_ms = value;
        self
    }
}
