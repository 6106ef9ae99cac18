//! Protocol between the router and endpoints.

use std::sync::Arc;

use relay::{RequestHead, ResponseHead};

use crate::endpoint::Endpoint;
use crate::request::RequestInfo;

/// One attempt to run a request at an endpoint.
pub struct Attempt<'a> {
    /// Decoded request.
    pub request: &'a RequestInfo,
    /// Request head as the caller sent it.
    pub head: &'a RequestHead,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// Endpoint that the request goes to.
    pub endpoint: &'a Endpoint,
    /// Time to the deadline, in milliseconds, at least 1.
    pub remaining_ms: u64,
    /// Name of the caller's workspace.
    pub workspace: Option<&'a str>,
    /// Priority among the endpoint's requests, where 0 is the most urgent.
    pub priority: u8,
    /// Model size, if the router chose it.
    pub size: Option<&'a str>,
    /// Event after which the stream resumes.
    pub resume_after: Option<u64>,
}

/// Whether an endpoint executed a request, as its response states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint did not start it, so that another may run it.
    NotStarted,
    /// The address belongs to another endpoint, which did not start it.
    Misdirected,
    /// The endpoint ran it and failed.
    Failed,
    /// The endpoint responds with success.
    Answered,
}

/// What the answer to a health check or to a request for a report says of the run that sends it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Responder {
    /// Identifier of the endpoint.
    pub id: Option<Arc<str>>,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Whether it refuses for want of room.
    pub is_full: bool,
    /// Whether it says that it is not the endpoint that was asked.
    pub is_misdirected: bool,
    /// For how long it stays cold, in milliseconds, if it says so.
    pub cold_left_ms: Option<u64>,
}

/// Decoded head of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Whether the request was executed.
    pub execution_status: ExecutionStatus,
    /// Whether the response belongs to this request.
    pub matches_request: bool,
    /// Whether the response carries a seal by which the endpoint vouches for it.
    pub sealed: bool,
    /// Confidence of the model in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Requests per second that the endpoint takes from all instances together, if it names a
    /// limit.
    pub rate_limit_per_s: Option<f64>,
    /// Requests that the endpoint can refuse in a second without ending, over all instances, if it says
    /// that it ends otherwise.
    pub refusal_limit_per_s: Option<u32>,
    /// Whether the endpoint is about to leave.
    pub is_leaving: bool,
    /// How long the endpoint wants no requests from this instance, in milliseconds, if it refused the
    /// request with such a time.
    pub pause_ms: Option<u64>,
}

impl Reply {
    /// Returns whether the endpoint that was asked says itself that it is about to leave.
    pub(crate) fn tells_leaving(&self) -> bool {
        let is_own = self.matches_request && self.execution_status != ExecutionStatus::Misdirected;
        is_own && self.is_leaving
    }

    /// Returns whether the response says how many requests the endpoint can refuse.
    pub(crate) fn tells_refusal_limit(&self) -> bool {
        let is_own = self.matches_request && self.execution_status != ExecutionStatus::Misdirected;
        is_own && (self.sealed || self.refusal_limit_per_s.is_some())
    }

    /// Returns whether the response says what the endpoint's rate limit is.
    ///
    /// Any response to the request may name a limit. Only one that the endpoint vouches for shows
    /// that it has none any more: refusals may be short, and one of another endpoint says nothing.
    pub(crate) fn tells_rate_limit(&self) -> bool {
        let is_own = self.matches_request && self.execution_status != ExecutionStatus::Misdirected;
        is_own && (self.sealed || self.rate_limit_per_s.is_some())
    }
}

/// Codec for one kind of endpoint. It makes no routing decisions.
pub trait EndpointProtocol {
    /// Encodes the head of a request.
    fn encode(&self, attempt: &Attempt<'_>) -> Vec<u8>;

    /// Decodes the head of a response.
    fn decode(&self, info: &RequestInfo, head: &ResponseHead) -> Reply;

    /// Encodes a health check that only an endpoint with the same identifier is to answer. The connection is
    /// to be kept.
    fn encode_health_check(&self, endpoint: &Endpoint, path: &str) -> Vec<u8>;

    /// Encodes a request for the report of an endpoint with the same identifier, in which it says when it
    /// started.
    fn encode_report_request(&self, endpoint: &Endpoint) -> Vec<u8>;

    /// Decodes who answers a health check or a request for a report of an endpoint.
    fn decode_responder(&self, endpoint: &Endpoint, head: &ResponseHead, body: &[u8]) -> Responder;
}
