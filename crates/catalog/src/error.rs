//! A fault in a declaration.

use std::fmt;
use std::sync::Arc;

/// Names where a declaration is wrong and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// The file that holds the declaration.
    pub file: Arc<str>,
    /// The kind and name of the resource.
    pub resource: String,
    /// The path of the field inside the resource.
    pub field: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: field '{}': {}",
            self.file, self.resource, self.field, self.expected
        )
    }
}

impl std::error::Error for ValidationError {}
