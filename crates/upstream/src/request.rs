//! One call to a pool.

use std::sync::Arc;

use kernel::Priority;

/// A call to be made at some endpoint of a pool.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    pub(crate) path: String,
    pub(crate) body: Arc<[u8]>,
    pub(crate) request: Arc<str>,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) affinity: Option<u64>,
    pub(crate) stage: u32,
}

/// Builds a [`UpstreamRequest`].
#[derive(Debug)]
pub struct UpstreamRequestBuilder(UpstreamRequest);

impl UpstreamRequest {
    /// Starts a call with the path and body that the endpoint gets, under a request identifier.
    pub fn builder(
        path: impl Into<String>,
        body: Vec<u8>,
        request: Arc<str>,
    ) -> UpstreamRequestBuilder {
        UpstreamRequestBuilder(UpstreamRequest {
            path: path.into(),
            body: body.into(),
            request,
            priority: Priority::Normal,
            idempotent: true,
            deadline_ms: None,
            affinity: None,
            stage: 0,
        })
    }
}

impl UpstreamRequestBuilder {
    /// Sets the priority class.
    pub fn priority(mut self, priority: Priority) -> UpstreamRequestBuilder {
        self.0.priority = priority;
        self
    }

    /// Sets whether the call may be repeated.
    pub fn idempotent(mut self, idempotent: bool) -> UpstreamRequestBuilder {
        self.0.idempotent = idempotent;
        self
    }

    /// Sets when the answer is of no more use, on the monotonic clock.
    pub fn deadline_ms(mut self, deadline_ms: Option<u64>) -> UpstreamRequestBuilder {
        self.0.deadline_ms = deadline_ms;
        self
    }

    /// Sets the hash of what the call shares with earlier ones, to meet their endpoint again.
    pub fn affinity(mut self, affinity: Option<u64>) -> UpstreamRequestBuilder {
        self.0.affinity = affinity;
        self
    }

    /// Sets the stage of a cascade.
    pub fn stage(mut self, stage: u32) -> UpstreamRequestBuilder {
        self.0.stage = stage;
        self
    }

    /// Ends the building.
    pub fn build(self) -> UpstreamRequest {
        self.0
    }
}

impl UpstreamRequest {
    /// Returns whether the call may be repeated.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }
}
