//! Compares declarations with the resources on the platform.

use std::path::Path;

use catalog::{Declarations, Object, SPEC_PREFIX};
use serde_json::Value;
use store::{HttpPlatformClient, ObjectApi};

use crate::error::{CommandError, ExitStatus};
use crate::platform;

/// How a resource changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    Create,
    Update,
    Delete,
}

impl ChangeKind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Create => "create",
            ChangeKind::Update => "update",
            ChangeKind::Delete => "delete",
        }
    }
}

/// A change of one resource.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Change {
    pub(crate) kind: ChangeKind,
    pub(crate) path: String,
    /// Revision on which the change is based; 0 if there is no such object.
    pub(crate) revision: u64,
    pub(crate) old: Value,
    pub(crate) new: Value,
}

impl Change {
    /// Returns the changed fields, as `name: old -> new`.
    pub(crate) fn fields(&self) -> Vec<String> {
        differences(&self.old, &self.new)
    }
}

/// Returns the fields in which two JSON objects differ, as `name: old -> new`.
pub(crate) fn differences(old: &Value, new: &Value) -> Vec<String> {
    let empty = serde_json::Map::new();
    let (old, new) = (
        old.as_object().unwrap_or(&empty),
        new.as_object().unwrap_or(&empty),
    );
    let mut lines = Vec::new();
    for key in old
        .keys()
        .chain(new.keys().filter(|key| !old.contains_key(*key)))
    {
        let (before, after) = (old.get(key), new.get(key));
        if before == after {
            continue;
        }
        let format_value =
            |value: Option<&Value>| value.map_or_else(|| "none".to_owned(), Value::to_string);
        lines.push(format!(
            "{key}: {} -> {}",
            format_value(before),
            format_value(after)
        ));
    }
    lines
}

/// Reads and validates a directory of declarations.
pub(crate) fn read(dir: &Path) -> Result<Declarations, CommandError> {
    let declared = Declarations::read_dir(dir);
    let declared = declared.map_err(|problems| invalid(&problems))?;
    let problems = declared.validate();
    if problems.is_empty() {
        Ok(declared)
    } else {
        Err(invalid(&problems))
    }
}

fn invalid(problems: &[catalog::ValidationError]) -> CommandError {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    CommandError::new(ExitStatus::Invalid, lines.join("\n"))
}

/// Returns the changes that bring the platform's resources to the declarations.
///
/// Resources that are not declared are deleted only with `prune`.
pub(crate) async fn plan(
    platform: &HttpPlatformClient,
    declared: &Declarations,
    prune: bool,
) -> Result<Vec<Change>, CommandError> {
    let listing = platform.list(SPEC_PREFIX).await;
    let listing =
        listing.map_err(|err| platform::command_error("cannot read the resources", &err))?;
    let find = |path: &str| listing.objects.iter().find(|object| &*object.path == path);
    let mut changes = Vec::new();
    for item in &declared.items {
        let path = item.path();
        let current = find(&path);
        let old = current
            .and_then(|object| object.value.clone())
            .unwrap_or(Value::Null);
        if old == item.value {
            continue;
        }
        check_not_withdrawn(&path, &old, &item.value)?;
        let kind = if current.is_some() {
            ChangeKind::Update
        } else {
            ChangeKind::Create
        };
        let revision = current.map_or(0, |object| object.revision);
        changes.push(Change {
            kind,
            path,
            revision,
            old,
            new: item.value.clone(),
        });
    }
    if prune {
        changes.extend(deletions(declared, &listing.objects));
    }
    Ok(changes)
}

fn deletions(declared: &Declarations, objects: &[Object]) -> Vec<Change> {
    let declared_paths: Vec<String> = declared
        .items
        .iter()
        .map(catalog::Declaration::path)
        .collect();
    let mut changes = Vec::new();
    for object in objects.iter().rev() {
        if declared_paths.iter().any(|path| **path == *object.path) {
            continue;
        }
        changes.push(Change {
            kind: ChangeKind::Delete,
            path: object.path.to_string(),
            revision: object.revision,
            old: object.value.clone().unwrap_or(Value::Null),
            new: Value::Null,
        });
    }
    changes
}

/// Rejects a declaration that would reactivate a withdrawn version.
fn check_not_withdrawn(path: &str, old: &Value, new: &Value) -> Result<(), CommandError> {
    if old["state"] == "withdrawn" && new["state"] != "withdrawn" {
        let message = format!(
            "{path}: field 'state': a withdrawn version stays withdrawn; declare a new version name"
        );
        return Err(CommandError::new(ExitStatus::Invalid, message));
    }
    Ok(())
}
