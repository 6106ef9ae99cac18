//! Commands `validate`, `diff` and `apply`.

use std::path::Path;

use serde_json::{Value, json};
use store::{HttpPlatformClient, ObjectApi, Precondition, StoreError};

use crate::change::{self, Change, ChangeKind, differences};
use crate::error::{CommandError, ExitStatus};
use crate::output::Output;
use crate::platform;
use crate::propagation;

/// Maximum number of attempts of a write.
const MAX_ATTEMPTS: u32 = 4;

/// Validates a directory of declarations and prints the number of resources by kind.
pub(crate) fn validate(dir: &Path, output: Output) -> Result<(), CommandError> {
    let declared = change::read(dir)?;
    let mut rows = Vec::new();
    for kind in catalog::ResourceKind::ALL {
        let count = declared
            .items
            .iter()
            .filter(|item| item.kind == kind)
            .count();
        rows.push(json!({ "kind": kind.as_str(), "count": count }));
    }
    output.print(&["kind", "count"], &rows);
    Ok(())
}

/// Prints the changes that `apply` would make.
pub(crate) async fn diff(
    platform: &HttpPlatformClient,
    dir: &Path,
    prune: bool,
    output: Output,
) -> Result<(), CommandError> {
    let declared = change::read(dir)?;
    let changes = change::plan(platform, &declared, prune).await?;
    print(&changes, output);
    Ok(())
}

fn print(changes: &[Change], output: Output) {
    if changes.is_empty() && output == Output::Table {
        println!("nothing to change");
        return;
    }
    let mut rows = Vec::new();
    for change in changes {
        let fields = if change.kind == ChangeKind::Update {
            change.fields().join("; ")
        } else {
            String::new()
        };
        rows.push(
            json!({ "change": change.kind.as_str(), "resource": change.path, "fields": fields }),
        );
    }
    output.print(&["change", "resource", "fields"], &rows);
}

/// Writes each change by a conditional update; with `wait`, waits until all are in force.
pub(crate) async fn apply(
    platform: &HttpPlatformClient,
    dir: &Path,
    prune: bool,
    wait: Option<propagation::Wait>,
    output: Output,
) -> Result<(), CommandError> {
    let declared = change::read(dir)?;
    let changes = change::plan(platform, &declared, prune).await?;
    let mut revision = 0;
    for change in &changes {
        revision = revision.max(write(platform, change).await?);
    }
    print(&changes, output);
    match wait {
        Some(wait) if revision > 0 => propagation::wait(&wait, revision, output).await,
        _ => Ok(()),
    }
}

async fn write(platform: &HttpPlatformClient, change: &Change) -> Result<u64, CommandError> {
    let expect = match change.kind {
        ChangeKind::Create => Precondition::Absent,
        ChangeKind::Update | ChangeKind::Delete => Precondition::Revision(change.revision),
    };
    let mut last_err = StoreError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let result = match change.kind {
            ChangeKind::Delete => platform.delete(&change.path, expect).await,
            ChangeKind::Create | ChangeKind::Update => {
                platform.put(&change.path, &change.new, expect).await
            }
        };
        let err = match result {
            Ok(revision) => return Ok(revision),
            Err(err) => err,
        };
        // The write may have taken effect although its response was lost, so read the object back.
        match read_current(platform, &change.path).await {
            Ok((value, revision)) if value == change.new => return Ok(revision),
            Ok((value, revision)) if revision != change.revision => {
                return Err(conflict(change, &value));
            }
            Ok(_) => last_err = err,
            Err(err) => last_err = err,
        }
    }
    Err(platform::command_error(
        &format!("{} was not written", change.path),
        &last_err,
    ))
}

async fn read_current(
    platform: &HttpPlatformClient,
    path: &str,
) -> Result<(Value, u64), StoreError> {
    match platform.get(path).await {
        Ok(object) => Ok((object.value.unwrap_or(Value::Null), object.revision)),
        Err(StoreError::NotFound) => Ok((Value::Null, 0)),
        Err(err) => Err(err),
    }
}

/// Builds the error that shows both sides of a conflict.
fn conflict(change: &Change, theirs: &Value) -> CommandError {
    let list = |fields: Vec<String>| {
        fields
            .iter()
            .map(|line| format!("\n    {line}"))
            .collect::<String>()
    };
    let message = format!(
        "{}: changed concurrently by another operator\n  yours:{}\n  theirs:{}\n  run 'rosemaryctl diff' and apply again",
        change.path,
        list(change.fields()),
        list(differences(&change.old, theirs)),
    );
    CommandError::new(ExitStatus::Conflict, message)
}
