//! What a caller asked and what it received.

use std::sync::Arc;

use kernel::{Priority, Verdict};

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion, whole.
    Chat,
    /// A chat completion, streamed.
    Stream,
    /// A service call that may not be repeated.
    Service,
}

/// One call as its caller means it.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// The kind.
    pub kind: CallKind,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The model, or the service and its call.
    pub target: String,
    /// The priority class.
    pub priority: Priority,
    /// The request class.
    pub class: &'static str,
    /// Whether the call carries a key with an issued prefix.
    pub keyed: bool,
    /// A session token.
    pub session: Option<String>,
}

impl CallSpec {
    /// Returns whether the call may run at most once.
    pub fn non_idempotent(&self) -> bool {
        self.kind == CallKind::Service
    }
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// With the whole answer to this request.
    Answered,
    /// With an answer that is not whole, or not to this request.
    Wrong(String),
    /// With a final refusal or failure.
    Failed(Verdict, String),
    /// With nothing.
    Lost(String),
}

/// One call and its outcome.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The call.
    pub spec: CallSpec,
    /// The identifiers under which it was asked, the last one last.
    pub ids: Vec<String>,
    /// When it was asked first, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The outcome.
    pub outcome: CallOutcome,
    /// The version that answered.
    pub version: String,
    /// Milliseconds to the end.
    pub elapsed_ms: f64,
    /// Milliseconds to the first byte of the answer.
    pub first_byte_ms: f64,
    /// The instance that answered.
    pub instance: String,
}
