//! Who callers are.

use std::sync::Arc;

/// A workspace whose keys callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The name.
    pub name: Arc<str>,
    /// The priority that goes before the route's, if any.
    pub priority: Option<u8>,
}
