//! Parsing of resource declarations in TOML files.

use std::path::Path;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::ValidationError;
use crate::resource::{Resource, ResourceKind};
use crate::snapshot::SPEC_PREFIX;

/// A resource and the file that declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration {
    /// The path of the declaring file, as passed to the parser.
    pub file: Arc<str>,
    /// The kind of the resource, from the name of its TOML table.
    pub kind: ResourceKind,
    /// The name, unique among the resources of its kind.
    pub name: Arc<str>,
    /// The value as JSON, in the form written to the object API.
    pub value: Value,
    /// The deserialized value.
    pub resource: Resource,
}

impl Declaration {
    /// Returns the object path of the resource's spec.
    pub fn path(&self) -> String {
        format!("{SPEC_PREFIX}{}/{}", self.kind.as_str(), self.name)
    }
}

/// The declarations of one or more files.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// The declarations, ordered by kind and, within a kind, as read.
    pub items: Vec<Declaration>,
}

impl Declarations {
    /// Parses the text of one file.
    ///
    /// # Errors
    ///
    /// Returns all errors found, each with its file, resource and field.
    pub fn parse(file: &str, text: &str) -> Result<Declarations, Vec<ValidationError>> {
        let file: Arc<str> = file.into();
        let table = match toml::from_str::<toml::Table>(text) {
            Ok(table) => table,
            Err(err) => return Err(vec![syntax_error(&file, text, &err)]),
        };
        let mut declared = Declarations::default();
        let mut errors = Vec::new();
        for (key, entries) in table {
            declared.parse_kind(&file, &key, entries, &mut errors);
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        declared.items.sort_by_key(|item| item.kind);
        Ok(declared)
    }

    /// Reads all `.toml` files of a directory, in order of file name.
    ///
    /// # Errors
    ///
    /// Returns all errors found, including files that cannot be read.
    pub fn read_dir(dir: &Path) -> Result<Declarations, Vec<ValidationError>> {
        let mut declared = Declarations::default();
        let mut errors = Vec::new();
        let mut paths: Vec<_> = match std::fs::read_dir(dir) {
            Ok(entries) => entries.flatten().map(|entry| entry.path()).collect(),
            Err(err) => return Err(vec![read_error(dir, &err)]),
        };
        paths.sort();
        for path in paths {
            if path.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let text = match std::fs::read_to_string(&path) {
                Ok(text) => text,
                Err(err) => {
                    errors.push(read_error(&path, &err));
                    continue;
                }
            };
            match Declarations::parse(&path.display().to_string(), &text) {
                Ok(parsed) => declared.items.extend(parsed.items),
                Err(errors_in_file) => errors.extend(errors_in_file),
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        declared.items.sort_by_key(|item| item.kind);
        Ok(declared)
    }

    fn parse_kind(
        &mut self,
        file: &Arc<str>,
        key: &str,
        entries: toml::Value,
        errors: &mut Vec<ValidationError>,
    ) {
        let Some(kind) = ResourceKind::parse(key) else {
            let known: Vec<&str> = ResourceKind::ALL
                .into_iter()
                .map(ResourceKind::as_str)
                .collect();
            let expected = format!("unknown kind, expected one of {}", known.join(", "));
            errors.push(validation_error(file, key, key, &expected));
            return;
        };
        let toml::Value::Array(entries) = entries else {
            let expected = format!("expected an array of tables, written [[{key}]]");
            errors.push(validation_error(file, key, key, &expected));
            return;
        };
        for (index, entry) in entries.into_iter().enumerate() {
            match parse_declaration(file, kind, index, entry) {
                Ok(item) => self.items.push(item),
                Err(err) => errors.push(err),
            }
        }
    }
}

/// Deserializes one TOML table and checks its name.
fn parse_declaration(
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
    if !is_valid_name(&name) {
        let expected = "expected a name of 1 to 63 lower-case letters, digits, '.' or '-'";
        return Err(validation_error(file, &label, "name", expected));
    }
    let resource = Resource::from_value(kind, &value)
        .map_err(|(field, expected)| validation_error(file, &label, &field, &expected))?;
    Ok(Declaration {
        file: file.clone(),
        kind,
        name: name.into(),
        value,
        resource,
    })
}

impl Resource {
    /// Deserializes a JSON value as a resource of the given kind.
    ///
    /// # Errors
    ///
    /// Returns the path of the invalid field and what was expected there.
    pub fn from_value(kind: ResourceKind, value: &Value) -> Result<Resource, (String, String)> {
        Ok(match kind {
            ResourceKind::Model => Resource::Model(deserialize(value)?),
            ResourceKind::Pool => Resource::Pool(deserialize(value)?),
            ResourceKind::Version => Resource::Version(deserialize(value)?),
            ResourceKind::Policy => Resource::Policy(deserialize(value)?),
            ResourceKind::Workspace => Resource::Workspace(deserialize(value)?),
            ResourceKind::Experiment => Resource::Experiment(deserialize(value)?),
            ResourceKind::Rollout => Resource::Rollout(deserialize(value)?),
        })
    }
}

fn deserialize<T: DeserializeOwned>(value: &Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(value)
        .map_err(|err| (err.path().to_string(), err.inner().to_string()))
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}

fn validation_error(
    file: &Arc<str>,
    resource: &str,
    field: &str,
    expected: &str,
) -> ValidationError {
    ValidationError {
        file: file.clone(),
        resource: resource.to_owned(),
        field: field.to_owned(),
        expected: expected.to_owned(),
    }
}

fn read_error(path: &Path, err: &std::io::Error) -> ValidationError {
    let file = path.display().to_string().into();
    validation_error(&file, "file", "-", &format!("cannot be read: {err}"))
}

fn syntax_error(file: &Arc<str>, text: &str, err: &toml::de::Error) -> ValidationError {
    let start = err.span().map_or(0, |span| span.start);
    let line = text[..start.min(text.len())].matches('\n').count() + 1;
    validation_error(file, &format!("line {line}"), "-", err.message())
}
