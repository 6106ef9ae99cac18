//! Who callers are.

use std::sync::Arc;

/// A workspace whose keys callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The name.
    pub name: Arc<str>,
    /// The rank that goes before the route's, if any.
    pub rank: Option<u8>,
}
