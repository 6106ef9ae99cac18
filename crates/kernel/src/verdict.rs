//! The verdict on whether a request may have run.

use serde::{Deserialize, Serialize};

/// Says whether an endpoint may have acted on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No endpoint saw any byte of the request, or the endpoint said that it did not start it.
    NotRun,
    /// An endpoint may have acted on the request.
    MayHaveRun,
    /// An endpoint acted on the request.
    Ran,
}

impl Verdict {
    /// Returns the wire name of the verdict.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Reads a wire name.
    pub fn parse(text: &str) -> Option<Verdict> {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
    }

    /// Joins the verdicts of two attempts at one request.
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}
