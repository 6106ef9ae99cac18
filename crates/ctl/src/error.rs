//! Exit statuses and the error of a failed command.

use std::fmt;

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// A service or file could not be reached or read.
    Failed = 1,
    /// The declarations or arguments are invalid.
    Invalid = 2,
    /// Another operator changed the same resource concurrently.
    Conflict = 3,
    /// The change was not in force on all instances within the timeout.
    Timeout = 4,
}

/// Error that ends a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError {
    /// Exit status of the process.
    pub status: ExitStatus,
    /// What failed, and what the operator can do about it.
    pub message: String,
}

impl CommandError {
    /// Creates an error.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> CommandError {
        CommandError {
            status,
            message: message.into(),
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CommandError {}
