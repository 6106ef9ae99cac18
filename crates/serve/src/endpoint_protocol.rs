//! How endpoints are spoken to.

use relay::{RequestHead, ResponseHead};

use crate::endpoint::Endpoint;
use crate::request::RequestInfo;

/// One send of a request to an endpoint.
pub struct Attempt<'a> {
    /// What the caller asks for.
    pub request: &'a RequestInfo,
    /// The head as the caller sent it.
    pub head: &'a RequestHead,
    /// The length of the body, in bytes.
    pub body_bytes: usize,
    /// Where it goes.
    pub endpoint: &'a Endpoint,
    /// How long the endpoint may work, in milliseconds.
    pub remaining_ms: u64,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// How urgent it is among the endpoint's requests, where 0 is first.
    pub priority: u8,
    /// The size of the model, if the router chose it.
    pub size: Option<&'a str>,
    /// The event after which the stream goes on.
    pub resume_after: Option<u64>,
}

/// What an endpoint's answer says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint did not start it, and another may take it.
    NotStarted,
    /// Another endpoint has the address now; this one did not start it.
    Misdirected,
    /// The endpoint worked on it and failed.
    Failed,
    /// The endpoint answers.
    Answered,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// What became of the request.
    pub execution_status: ExecutionStatus,
    /// Whether the answer belongs to this request.
    pub matches_request: bool,
    /// Whether the endpoint vouches for the answer.
    pub sealed: bool,
    /// How sure the model is of its answer, from 0 to 100.
    pub confidence: Option<u8>,
}

/// How a kind of endpoint speaks. It translates and decides nothing.
pub trait EndpointProtocol {
    /// Returns the head of a request, as it is sent.
    fn encode(&self, attempt: &Attempt<'_>) -> Vec<u8>;

    /// Reads the head of an answer.
    fn decode(&self, ask: &RequestInfo, head: &ResponseHead) -> Reply;
}
