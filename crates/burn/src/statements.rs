//! What the report reads of the object API.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalog::{Object, Objective, SPEC_PREFIX, Workspace};
use receipt::Statement;
use serde::de::DeserializeOwned;
use store::{ObjectApi, StoreError};

/// The path prefix of statements.
const STATEMENTS: &str = "statements/";

/// One workspace with its objective and statements.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceStatements {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The objective.
    pub objective: Objective,
    /// The settled statements, one for each shard.
    pub statements: Vec<Statement>,
}

/// Reads all accounts in two listings.
///
/// # Errors
///
/// Fails when the object API cannot be reached.
pub async fn read_statements(
    platform: &dyn ObjectApi,
) -> Result<Vec<WorkspaceStatements>, StoreError> {
    let workspaces = platform.list(&format!("{SPEC_PREFIX}workspace/")).await?;
    let statements = platform.list(STATEMENTS).await?;
    let mut accounts: BTreeMap<Arc<str>, WorkspaceStatements> = BTreeMap::new();
    for object in &workspaces.objects {
        let Some(workspace) = typed::<Workspace>(object) else {
            continue;
        };
        let account = WorkspaceStatements {
            workspace: workspace.name.clone(),
            objective: workspace.objective,
            statements: Vec::new(),
        };
        accounts.insert(workspace.name, account);
    }
    for object in &statements.objects {
        let name = object.path.split('/').nth(1).unwrap_or_default();
        if let (Some(account), Some(statement)) = (accounts.get_mut(name), typed(object)) {
            account.statements.push(statement);
        }
    }
    Ok(accounts.into_values().collect())
}

fn typed<T: DeserializeOwned>(object: &Object) -> Option<T> {
    object
        .value
        .as_ref()
        .and_then(|value| T::deserialize(value).ok())
}
