//! Bounds on callers that the operator declares.

/// Bounds on what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub max_head_bytes: u64,
    /// The largest body, in bytes.
    pub max_body_bytes: u64,
    /// How long a request may take to arrive, in milliseconds.
    pub arrival_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}
