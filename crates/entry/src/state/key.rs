//! Keys that identify idempotent requests.

use std::sync::Arc;

use kernel::RequestId;

/// The key under which a request is executed at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum IdempotencyKey {
    /// A request id whose prefix was issued by an instance, the home of the request.
    Issued(RequestId),
    /// A key chosen by the caller.
    CallerSupplied(String),
}

/// An idempotency key within its workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ScopedKey {
    pub(crate) workspace: Arc<str>,
    pub(crate) key: Arc<str>,
}
