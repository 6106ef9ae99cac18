//! The error type for invalid declarations.

use std::fmt;
use std::sync::Arc;

/// An invalid field of a declaration or of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// The declaring file, or the path of the object.
    pub file: Arc<str>,
    /// The resource as `kind/name`, or the line of a syntax error.
    pub resource: String,
    /// The path of the field within the resource, `-` if there is none.
    pub field: String,
    /// What was expected, and what was found where that helps.
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
