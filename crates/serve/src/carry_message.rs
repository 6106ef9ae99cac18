//! What an instance says when it hands a request over to a peer, and what the peer says of it.
//!
//! Both travel as a header field beside the caller's request and the endpoint's response.

use kernel::{Failure, Reason, Verdict};
use relay::Headers;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

const ORDER_FIELD: &str = "Rosemary-Carry";
const REPORT_FIELD: &str = "Rosemary-Carried";

/// Bytes that the field adds to the head of a request.
pub(crate) const MAX_FIELD_BYTES: usize = 1 << 10;

/// What the home of a request, to which the caller sent it, asks of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CarryOrder {
    /// Name of the home.
    pub(crate) home: String,
    /// Service that the home chose.
    pub(crate) service: String,
    /// Time to the deadline, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Endpoints that may run the request.
    pub(crate) attempts: u32,
    /// Event after which a stream goes on.
    pub(crate) resume_after: Option<u64>,
    /// Index of the model size of a stream that goes on.
    pub(crate) size: Option<usize>,
    /// Version of the home's configuration.
    pub(crate) config: u64,
}

/// What became of a request at the peer when its response began.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CarryReport {
    /// Endpoints that received the request.
    pub(crate) sends: u32,
    /// Endpoints that may have run it, not counting the one whose answer follows.
    pub(crate) runs: u32,
    /// Index of the model size of the answer.
    pub(crate) size: Option<usize>,
    /// Why the response is not an endpoint's.
    pub(crate) failure: Option<FailureText>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FailureText {
    verdict: Verdict,
    reason: String,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl CarryOrder {
    /// Removes the order from the fields of a request, if there is a valid one.
    pub(crate) fn take_from(headers: &mut Headers) -> Option<CarryOrder> {
        take(ORDER_FIELD, headers)
    }

    /// Sets the order as the only one of a request.
    pub(crate) fn set_in(&self, headers: &mut Headers) {
        set(self, ORDER_FIELD, headers);
    }
}

impl CarryReport {
    /// Reports a failure in place of an endpoint's response.
    pub(crate) fn with_failure(mut self, failure: &Failure) -> CarryReport {
        self.failure = Some(FailureText {
            verdict: failure.verdict,
            reason: failure.reason.as_str().to_owned(),
            detail: failure.detail.clone(),
            retry_after_ms: failure.retry_after_ms,
        });
        self
    }

    /// Returns the failure in place of an endpoint's response, if there is one.
    pub(crate) fn failure(&self) -> Option<Failure> {
        let text = self.failure.as_ref()?;
        // A peer of another build may know reasons that this one does not.
        let reason = Reason::parse(&text.reason).unwrap_or(Reason::EndpointFailed);
        let mut failure = Failure::new(text.verdict, reason, &*text.detail);
        failure.retry_after_ms = text.retry_after_ms;
        Some(failure)
    }

    /// Removes the report from the fields of a response, if there is a valid one.
    pub(crate) fn take_from(headers: &mut Headers) -> Option<CarryReport> {
        take(REPORT_FIELD, headers)
    }

    /// Sets the report as the only one of a response.
    pub(crate) fn set_in(&self, headers: &mut Headers) {
        set(self, REPORT_FIELD, headers);
    }
}

/// Removes a message from the fields of a request or response, if there is a valid one.
pub(crate) fn take<T: DeserializeOwned>(field: &str, headers: &mut Headers) -> Option<T> {
    serde_json::from_str(&headers.remove(field)?).ok()
}

/// Sets a message as the only field of its name.
pub(crate) fn set<T: Serialize>(message: &T, field: &str, headers: &mut Headers) {
    headers.remove(field);
    match serde_json::to_string(message) {
        Ok(text) => headers.push(field, text),
        Err(err) => tracing::error!(field, error = %err, "carry: field not encoded"),
    }
}
