//! A request to an endpoint pool.

use std::sync::Arc;

use kernel::Priority;

/// A request for any endpoint of a pool.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    pub(crate) path: String,
    pub(crate) body: Arc<[u8]>,
    pub(crate) request_id: Arc<str>,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) affinity: Option<u64>,
    pub(crate) stage: u32,
}

/// Builds an [`UpstreamRequest`].
#[derive(Debug)]
pub struct UpstreamRequestBuilder(UpstreamRequest);

impl UpstreamRequest {
    /// Starts building a request with the path and JSON body that the endpoint receives.
    ///
    /// `request_id` is the caller's request identifier, a prefix of the identifier of each attempt.
    pub fn builder(
        path: impl Into<String>,
        body: Vec<u8>,
        request_id: Arc<str>,
    ) -> UpstreamRequestBuilder {
        UpstreamRequestBuilder(UpstreamRequest {
            path: path.into(),
            body: body.into(),
            request_id,
            priority: Priority::Normal,
            idempotent: true,
            deadline_ms: None,
            affinity: None,
            stage: 0,
        })
    }
}

impl UpstreamRequestBuilder {
    /// Sets the priority class; [`Priority::Normal`] by default.
    pub fn priority(mut self, priority: Priority) -> UpstreamRequestBuilder {
        self.0.priority = priority;
        self
    }

    /// Sets whether the request may run more than once; true by default.
    pub fn idempotent(mut self, idempotent: bool) -> UpstreamRequestBuilder {
        self.0.idempotent = idempotent;
        self
    }

    /// Sets the caller's deadline on the monotonic clock, in milliseconds; none by default.
    pub fn deadline_ms(mut self, deadline_ms: Option<u64>) -> UpstreamRequestBuilder {
        self.0.deadline_ms = deadline_ms;
        self
    }

    /// Sets the hash of the prompt prefix. Requests with the same hash prefer the same endpoint,
    /// whose prefix cache holds it.
    pub fn affinity(mut self, affinity: Option<u64>) -> UpstreamRequestBuilder {
        self.0.affinity = affinity;
        self
    }

    /// Sets the cascade stage, which is part of the attempt identifier; 0 by default.
    pub fn stage(mut self, stage: u32) -> UpstreamRequestBuilder {
        self.0.stage = stage;
        self
    }

    /// Returns the finished request.
    pub fn build(self) -> UpstreamRequest {
        self.0
    }
}

impl UpstreamRequest {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }
}
