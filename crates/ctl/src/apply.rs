//! `validate`, `diff` and `apply`.

use std::path::Path;

use serde_json::{Value, json};
use store::{HttpPlatformClient, ObjectApi, Precondition, StoreError};

use crate::change::{self, Change, Kind, differences};
use crate::error::{CommandError, ExitStatus};
use crate::output::Output;
use crate::platform;
use crate::propagation;

/// How often a write whose answer was lost is looked at again.
const MAX_TRIES: u32 = 4;

/// Checks a directory.
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

/// Shows what `apply` would change.
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
        let fields = if change.kind == Kind::Update {
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

/// Writes what differs, each by a conditional update, and waits until it is in force if asked.
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
        Kind::Create => Precondition::Absent,
        Kind::Update | Kind::Delete => Precondition::Revision(change.revision),
    };
    let mut last = StoreError::Conflict;
    for _ in 0..MAX_TRIES {
        let result = match change.kind {
            Kind::Delete => platform.delete(&change.path, expect).await,
            Kind::Create | Kind::Update => platform.put(&change.path, &change.new, expect).await,
        };
        let err = match result {
            Ok(revision) => return Ok(revision),
            Err(err) => err,
        };
        // The write may have taken effect all the same; what stands there decides.
        match held(platform, &change.path).await {
            Ok((value, revision)) if value == change.new => return Ok(revision),
            Ok((value, revision)) if revision != change.revision => {
                return Err(conflict(change, &value));
            }
            Ok(_) => last = err,
            Err(err) => last = err,
        }
    }
    Err(platform::command_error(
        &format!("{} was not written", change.path),
        &last,
    ))
}

async fn held(platform: &HttpPlatformClient, path: &str) -> Result<(Value, u64), StoreError> {
    match platform.get(path).await {
        Ok(object) => Ok((object.value.unwrap_or(Value::Null), object.revision)),
        Err(StoreError::NotFound) => Ok((Value::Null, 0)),
        Err(err) => Err(err),
    }
}

/// Shows both sides of a conflict.
fn conflict(change: &Change, theirs: &Value) -> CommandError {
    let list = |fields: Vec<String>| {
        fields
            .iter()
            .map(|line| format!("\n    {line}"))
            .collect::<String>()
    };
    let message = format!(
        "{}: changed by someone else at the same time\n  yours:{}\n  theirs:{}\n  look at 'rosemaryctl diff' and apply again",
        change.path,
        list(change.fields()),
        list(differences(&change.old, theirs)),
    );
    CommandError::new(ExitStatus::Conflict, message)
}
