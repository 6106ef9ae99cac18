//! Declarations as they stand in files.

use std::path::Path;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::ValidationError;
use crate::resource::{Resource, ResourceKind};
use crate::snapshot::SPEC_PREFIX;

/// One resource with the place that declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration {
    /// The file.
    pub file: Arc<str>,
    /// The kind.
    pub kind: ResourceKind,
    /// The name.
    pub name: Arc<str>,
    /// The untyped value, as it goes into the object API.
    pub value: Value,
    /// The typed value.
    pub resource: Resource,
}

impl Declaration {
    /// Returns the object path of the resource's spec.
    pub fn path(&self) -> String {
        format!("{SPEC_PREFIX}{}/{}", self.kind.as_str(), self.name)
    }
}

/// A set of declarations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// The declarations, in order of kind, then as read.
    pub items: Vec<Declaration>,
}

impl Declarations {
    /// Reads one file's text.
    ///
    /// # Errors
    ///
    /// Returns every fault found, each naming file, resource and field.
    pub fn parse(file: &str, text: &str) -> Result<Declarations, Vec<ValidationError>> {
        let file: Arc<str> = file.into();
        let table = match toml::from_str::<toml::Table>(text) {
            Ok(table) => table,
            Err(err) => return Err(vec![syntax_problem(&file, text, &err)]),
        };
        let mut declared = Declarations::default();
        let mut problems = Vec::new();
        for (key, entries) in table {
            declared.take_kind(&file, &key, entries, &mut problems);
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        declared.items.sort_by_key(|item| item.kind);
        Ok(declared)
    }

    /// Reads every `.toml` file of a directory, in order of name.
    ///
    /// # Errors
    ///
    /// Returns every fault found, files that cannot be read included.
    pub fn read_dir(dir: &Path) -> Result<Declarations, Vec<ValidationError>> {
        let mut declared = Declarations::default();
        let mut problems = Vec::new();
        let mut paths: Vec<_> = match std::fs::read_dir(dir) {
            Ok(entries) => entries.flatten().map(|entry| entry.path()).collect(),
            Err(err) => return Err(vec![file_problem(dir, &err)]),
        };
        paths.sort();
        for path in paths {
            if path.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let text = match std::fs::read_to_string(&path) {
                Ok(text) => text,
                Err(err) => {
                    problems.push(file_problem(&path, &err));
                    continue;
                }
            };
            match Declarations::parse(&path.display().to_string(), &text) {
                Ok(more) => declared.items.extend(more.items),
                Err(more) => problems.extend(more),
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        declared.items.sort_by_key(|item| item.kind);
        Ok(declared)
    }

    fn take_kind(
        &mut self,
        file: &Arc<str>,
        key: &str,
        entries: toml::Value,
        problems: &mut Vec<ValidationError>,
    ) {
        let Some(kind) = ResourceKind::parse(key) else {
            let known: Vec<&str> = ResourceKind::ALL
                .into_iter()
                .map(ResourceKind::as_str)
                .collect();
            let expected = format!("unknown kind, expected one of {}", known.join(", "));
            problems.push(problem(file, key, key, &expected));
            return;
        };
        let toml::Value::Array(entries) = entries else {
            let expected = format!("expected an array of tables, written [[{key}]]");
            problems.push(problem(file, key, key, &expected));
            return;
        };
        for (index, entry) in entries.into_iter().enumerate() {
            match declaration(file, kind, index, entry) {
                Ok(item) => self.items.push(item),
                Err(found) => problems.push(found),
            }
        }
    }
}

/// Types one entry.
fn declaration(
    file: &Arc<str>,
    kind: ResourceKind,
    index: usize,
    entry: toml::Value,
) -> Result<Declaration, ValidationError> {
    let value = serde_json::to_value(&entry).unwrap_or(Value::Null);
    let name = value
        .get("name")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned();
    let label = if name.is_empty() {
        format!("{}[{index}]", kind.as_str())
    } else {
        format!("{}/{name}", kind.as_str())
    };
    if !is_name(&name) {
        let expected = "expected a name of 1 to 63 lower-case letters, digits, '.' or '-'";
        return Err(problem(file, &label, "name", expected));
    }
    let resource = Resource::from_value(kind, &value)
        .map_err(|(field, expected)| problem(file, &label, &field, &expected))?;
    Ok(Declaration {
        file: file.clone(),
        kind,
        name: name.into(),
        value,
        resource,
    })
}

impl Resource {
    /// Types a value.
    ///
    /// # Errors
    ///
    /// Returns the path of the faulty field and what was expected there.
    pub fn from_value(kind: ResourceKind, value: &Value) -> Result<Resource, (String, String)> {
        Ok(match kind {
            ResourceKind::Model => Resource::Model(typed(value)?),
            ResourceKind::Pool => Resource::Pool(typed(value)?),
            ResourceKind::Version => Resource::Version(typed(value)?),
            ResourceKind::Policy => Resource::Policy(typed(value)?),
            ResourceKind::Workspace => Resource::Workspace(typed(value)?),
            ResourceKind::Experiment => Resource::Experiment(typed(value)?),
            ResourceKind::Rollout => Resource::Rollout(typed(value)?),
        })
    }
}

fn typed<T: DeserializeOwned>(value: &Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(value)
        .map_err(|err| (err.path().to_string(), err.inner().to_string()))
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}

fn problem(file: &Arc<str>, resource: &str, field: &str, expected: &str) -> ValidationError {
    ValidationError {
        file: file.clone(),
        resource: resource.to_owned(),
        field: field.to_owned(),
        expected: expected.to_owned(),
    }
}

fn file_problem(path: &Path, err: &std::io::Error) -> ValidationError {
    let file = path.display().to_string().into();
    problem(&file, "file", "-", &format!("cannot be read: {err}"))
}

fn syntax_problem(file: &Arc<str>, text: &str, err: &toml::de::Error) -> ValidationError {
    let start = err.span().map_or(0, |span| span.start);
    let line = text[..start.min(text.len())].matches('\n').count() + 1;
    problem(file, &format!("line {line}"), "-", err.message())
}
