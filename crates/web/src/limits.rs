//! Limits on callers' connections and requests.

/// Limits of a server on its connections and requests.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of open connections. Idle ones give way to further ones, which are refused else.
    pub max_connections: usize,
    /// Maximum memory of all connections together, in bytes. Requests beyond it are refused.
    pub max_held_bytes: u64,
    /// Time that a connection may wait for a complete request head, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time to receive a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time that a write may block because the caller does not read, in milliseconds.
    pub write_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 4 << 20,
            max_connections: 4096,
            // 4,096 connections and 48 of the largest bodies.
            max_held_bytes: 256 << 20,
            idle_timeout_ms: 60_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 20_000,
        }
    }
}

impl Limits {
    /// Sets the maximum size of a request body, in bytes.
    pub fn max_body_bytes(mut self, value: u64) -> Limits {
        self.max_body_bytes = value;
        self
    }

    /// Sets the maximum number of open connections.
    pub fn max_connections(mut self, value: usize) -> Limits {
        self.max_connections = value;
        self
    }

    /// Sets the maximum memory of all connections together, in bytes.
    pub fn max_held_bytes(mut self, value: u64) -> Limits {
        self.max_held_bytes = value;
        self
    }

    /// Sets the time that a connection may wait for a request head, in milliseconds.
    pub fn idle_timeout_ms(mut self, value: u64) -> Limits {
        self.idle_timeout_ms = value;
        self
    }

    /// Sets the time to receive a request body, in milliseconds.
    pub fn body_timeout_ms(mut self, value: u64) -> Limits {
        self.body_timeout_ms = value;
        self
    }

    /// Sets the time that a write may block, in milliseconds.
    pub fn write_timeout_ms(mut self, value: u64) -> Limits {
        self.write_timeout_ms = value;
        self
    }
}
