//! Priority classes of requests.

use serde::{Deserialize, Serialize};

/// The priority class of a request, most urgent first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that a person is waiting for on the spot, such as at a gate or a printer.
    Urgent,
    /// Interactive work; the default.
    #[default]
    Normal,
    /// Background work that may be delayed.
    Batch,
}

impl Priority {
    /// All priority classes, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];

    /// Returns the name used in headers, settings and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Urgent => "urgent",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        }
    }

    /// Parses a name as [`Priority::as_str`] returns it.
    pub fn parse(text: &str) -> Option<Priority> {
        Priority::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
    }

    /// Returns the priority as model engines expect it: a lower number is scheduled first.
    pub fn rank(self) -> u8 {
        self as u8
    }
}
