//! Exit codes.

use std::fmt;

/// How a command ended, as the process's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// All went well.
    Good = 0,
    /// Something cannot be reached or read.
    Failed = 1,
    /// The declarations or arguments are faulty.
    Invalid = 2,
    /// Someone else changed the same resource at the same time.
    Conflict = 3,
    /// The change is not in force everywhere in time.
    Late = 4,
}

/// The end of a command that did not go well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// The exit code.
    pub code: Code,
    /// What happened and what to do.
    pub message: String,
}

impl Stop {
    /// Makes a stop.
    pub fn new(code: Code, message: impl Into<String>) -> Stop {
        Stop {
            code,
            message: message.into(),
        }
    }
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Stop {}
