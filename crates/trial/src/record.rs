//! What a caller requested and what it received.

use std::sync::Arc;

use kernel::{Priority, Verdict};

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion that is not streamed.
    Chat,
    /// A chat completion, streamed.
    Stream,
    /// A non-idempotent service call.
    Service,
}

/// The parameters of a call.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Kind of the call.
    pub kind: CallKind,
    /// Workspace that sends the call.
    pub workspace: Arc<str>,
    /// Model, or service and call as `service/call`.
    pub target: String,
    /// Priority, sent in the request header.
    pub priority: Priority,
    /// Request class, sent in the request header.
    pub class: &'static str,
    /// Whether the call carries an idempotency key.
    pub keyed: bool,
    /// Session token, if the call belongs to a session.
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
    /// A complete answer to this request.
    Answered,
    /// An answer that is incomplete or belongs to another request, with a description.
    Wrong(String),
    /// A final refusal or failure, with its verdict and message.
    Failed(Verdict, String),
    /// No final answer, with the last error.
    Lost(String),
}

/// One call and its outcome.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Parameters of the call.
    pub spec: CallSpec,
    /// Identifiers under which it was sent, in the order of first use.
    pub ids: Vec<String>,
    /// Time of the first attempt, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Version that answered, or empty.
    pub version: String,
    /// Duration including retries, in milliseconds.
    pub elapsed_ms: f64,
    /// Time from the last attempt to the first byte of its body, in milliseconds.
    pub first_byte_ms: f64,
    /// Address of the instance that received the last attempt.
    pub instance: String,
}
