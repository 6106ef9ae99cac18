//! Statements of the workspaces, read from the object API.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalog::{Object, Objective, SPEC_PREFIX, Workspace};
use receipt::Statement;
use serde::de::DeserializeOwned;
use store::{ObjectApi, StoreError};

/// The path prefix of statements.
const STATEMENTS_PREFIX: &str = "statements/";

/// The objective and the statements of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceStatements {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Service-level objective of the workspace.
    pub objective: Objective,
    /// Statements, one per shard.
    pub statements: Vec<Statement>,
}

/// Reads the objectives and statements of all workspaces, with one list call for each kind. Skips
/// objects that cannot be decoded.
///
/// # Errors
///
/// Fails when the object API is unreachable.
pub async fn read_statements(
    platform: &dyn ObjectApi,
) -> Result<Vec<WorkspaceStatements>, StoreError> {
    let workspaces = platform.list(&format!("{SPEC_PREFIX}workspace/")).await?;
    let statements = platform.list(STATEMENTS_PREFIX).await?;
    let mut found: BTreeMap<Arc<str>, WorkspaceStatements> = BTreeMap::new();
    for object in &workspaces.objects {
        let Some(workspace) = decode::<Workspace>(object) else {
            continue;
        };
        let entry = WorkspaceStatements {
            name: workspace.name.clone(),
            objective: workspace.objective,
            statements: Vec::new(),
        };
        found.insert(workspace.name, entry);
    }
    for object in &statements.objects {
        let name = object.path.split('/').nth(1).unwrap_or_default();
        if let (Some(entry), Some(statement)) = (found.get_mut(name), decode(object)) {
            entry.statements.push(statement);
        }
    }
    Ok(found.into_values().collect())
}

fn decode<T: DeserializeOwned>(object: &Object) -> Option<T> {
    object
        .value
        .as_ref()
        .and_then(|value| T::deserialize(value).ok())
}
