//! Why a platform call failed.

use std::fmt;

use kernel::Verdict;

/// A failed platform call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The object is not at the expected revision.
    Conflict,
    /// There is no such object.
    NotFound,
    /// The watched revision is too old; list again.
    Expired,
    /// The call was not sent, since the budget is used up.
    RateLimited,
    /// The platform cannot be reached or answered with an error.
    Unavailable {
        /// Whether a write may have taken effect.
        verdict: Verdict,
        /// What happened.
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
            StoreError::Conflict => f.write_str("the object changed meanwhile"),
            StoreError::NotFound => f.write_str("there is no such object"),
            StoreError::Expired => f.write_str("the watched revision is too old"),
            StoreError::RateLimited => f.write_str("the budget of platform calls is used up"),
            StoreError::Unavailable { message, .. } => {
                write!(f, "the platform is unavailable: {message}")
            }
        }
    }
}

impl std::error::Error for StoreError {}
