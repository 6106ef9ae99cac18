//! Exit codes.

use std::fmt;

/// How a command ended, as the process's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// All went well.
    Success = 0,
    /// Something cannot be reached or read.
    Failed = 1,
    /// The declarations or arguments are faulty.
    Invalid = 2,
    /// Someone else changed the same resource at the same time.
    Conflict = 3,
    /// The change is not in force everywhere in time.
    Timeout = 4,
}

/// The end of a command that did not go well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError {
    /// The exit code.
    pub code: ExitStatus,
    /// What happened and what to do.
    pub message: String,
}

impl CommandError {
    /// Makes a stop.
    pub fn new(code: ExitStatus, message: impl Into<String>) -> CommandError {
        CommandError {
            code,
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
