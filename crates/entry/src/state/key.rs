//! What a request is known by.

use std::sync::Arc;

use kernel::RequestId;

/// The key under which a request is answered once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum IdempotencyKey {
    /// An identifier with a prefix that an instance issued.
    Issued(RequestId),
    /// A key of the caller's own making.
    CallerSupplied(String),
}

/// The name of a keyed request at its home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ScopedKey {
    pub(crate) workspace: Arc<str>,
    pub(crate) key: Arc<str>,
}
