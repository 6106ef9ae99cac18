//! The verdict on whether a request was executed.

use serde::{Deserialize, Serialize};

/// Whether an endpoint executed a request, in ascending order of how far it may have got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No endpoint received any byte of the request, or the endpoint reported not to have started it.
    NotRun,
    /// An endpoint may have executed the request, wholly or in part.
    MayHaveRun,
    /// An endpoint executed the request.
    Ran,
}

impl Verdict {
    /// Returns the name used in headers, responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Parses a name as [`Verdict::as_str`] returns it.
    pub fn parse(text: &str) -> Option<Verdict> {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
    }

    /// Returns the verdict on a request after two attempts, which is the higher one.
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}
