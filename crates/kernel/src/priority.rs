//! Priority classes.

use serde::{Deserialize, Serialize};

/// The priority class of a request, most urgent first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that a person waits for at a gate or a printer.
    Urgent,
    /// Ordinary interactive work.
    #[default]
    Normal,
    /// Work that can wait.
    Batch,
}

impl Priority {
    /// All classes, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];

    /// Returns the wire name of the class.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Urgent => "urgent",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        }
    }

    /// Reads a wire name.
    pub fn parse(text: &str) -> Option<Priority> {
        Priority::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
    }

    /// Returns the rank that engines honour, where a lower number goes first.
    pub fn rank(self) -> u8 {
        self as u8
    }
}
