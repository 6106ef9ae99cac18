//! Workspaces that callers belong to.

use std::sync::Arc;

/// A workspace, which callers identify by its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Priority that overrides the route's, where 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may run, or `None` for all.
    pub homes: Option<Arc<[Arc<str>]>>,
}
