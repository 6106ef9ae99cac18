//! The receipt of a request.

use std::sync::Arc;

use kernel::{Incarnation, Priority};
use serde::{Deserialize, Serialize};

/// How a billed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer was complete.
    Answered,
    /// The caller disconnected.
    Cancelled,
    /// The endpoint failed after it may have run the request.
    Failed,
}

/// The resources that a request used and how long it took.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestUsage {
    /// The name of the version or service that last ran the request.
    pub version: Arc<str>,
    /// The request class, as set by the caller.
    pub class: Arc<str>,
    /// The priority of the request.
    pub priority: Priority,
    /// How the request ended.
    pub outcome: Outcome,
    /// The number of prompt tokens over all attempts.
    pub prompt_tokens: u64,
    /// The number of generated tokens over all attempts.
    pub completion_tokens: u64,
    /// The cost over all attempts, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The time to the first token or byte, in milliseconds.
    pub first_token_ms: u64,
    /// The time to the end of the answer, in milliseconds.
    pub total_ms: u64,
    /// Whether any attempt ran on an unproven version.
    pub unproven: bool,
    /// Whether the request met its service-level objective.
    pub in_objective: bool,
    /// The arm of an experiment that the request was assigned to, as `EXPERIMENT/POLICY`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arm: Option<Arc<str>>,
}

/// The receipt by which a request is billed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// The incarnation that served the request and issued the receipt.
    pub home: Incarnation,
    /// The name of the workspace that is billed.
    pub workspace: Arc<str>,
    /// The sequence number within the incarnation and workspace, from 1 and without gaps.
    pub number: u64,
    /// The identifier of the request.
    pub request: Arc<str>,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// The usage that is billed.
    #[serde(rename = "work")]
    pub usage: RequestUsage,
}
