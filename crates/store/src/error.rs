//! The error type of platform calls.

use std::fmt;

use kernel::Verdict;

/// The reason why a platform call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The object is not at the expected revision.
    Conflict,
    /// The object does not exist.
    NotFound,
    /// The watched revision is no longer available; the caller must list again.
    Expired,
    /// The call was not sent because the client-side rate limit is reached.
    RateLimited,
    /// The platform could not be reached, timed out or responded with an error.
    Unavailable {
        /// Whether a write may have taken effect.
        verdict: Verdict,
        /// The cause, for logs.
        message: String,
    },
}

impl StoreError {
    /// Returns whether a write may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            StoreError::Unavailable { verdict, .. } => *verdict,
            _ => Verdict::NotRun,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict => f.write_str("the object is not at the expected revision"),
            StoreError::NotFound => f.write_str("the object does not exist"),
            StoreError::Expired => f.write_str("the watched revision is no longer available"),
            StoreError::RateLimited => f.write_str("the rate limit of platform calls is reached"),
            StoreError::Unavailable { message, .. } => {
                write!(f, "the platform is unavailable: {message}")
            }
        }
    }
}

impl std::error::Error for StoreError {}
