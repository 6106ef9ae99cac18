//! One receipt.

use std::sync::Arc;

use kernel::{Incarnation, Priority};
use serde::{Deserialize, Serialize};

/// How a billed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was there.
    Answered,
    /// The caller went away.
    Cancelled,
    /// The endpoint failed after it may have acted.
    Failed,
}

/// What a request used and how long it took.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestUsage {
    /// The version or service that ran it last.
    pub version: Arc<str>,
    /// The request class.
    pub class: Arc<str>,
    /// The priority class.
    pub priority: Priority,
    /// How it ended.
    pub outcome: Outcome,
    /// Prompt tokens over all attempts.
    pub prompt_tokens: u64,
    /// Generated tokens over all attempts.
    pub completion_tokens: u64,
    /// The cost over all attempts, in millionths of the currency unit.
    pub cost_micros: u64,
    /// Milliseconds to the first token or byte.
    pub first_token_ms: u64,
    /// Milliseconds to the end.
    pub total_ms: u64,
    /// Whether an unproven version took part.
    pub unproven: bool,
    /// Whether the objective was kept.
    pub in_objective: bool,
    /// The arm of an experiment, as `EXPERIMENT/POLICY`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arm: Option<Arc<str>>,
}

/// The one bill of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// The incarnation that ran the request.
    pub home: Incarnation,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The number of the receipt among those of its incarnation and workspace, from 1.
    pub number: u64,
    /// The request's identifier.
    pub request: Arc<str>,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// What is billed.
    #[serde(rename = "work")]
    pub usage: RequestUsage,
}
