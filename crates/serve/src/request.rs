//! What a caller asks for, decoded.

use std::sync::Arc;

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// How many tokens a request reads and may generate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_answer_tokens: u32,
}

/// One request of a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The identity of this request; a caller's own repeat has another.
    pub id: Arc<str>,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// How long the caller waits, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The key that names the caller's workspace.
    pub key: Option<String>,
    /// Whether the router chooses the size of the model.
    pub any_size: bool,
    /// The tokens.
    pub token_usage: TokenUsage,
    /// The parts of the prompt in order; the last belongs to the request alone.
    pub prompt_parts: Vec<PromptPart>,
    /// The event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// What ties requests of one conversation together.
    pub session: Option<Arc<str>>,
}

impl RequestInfo {
    /// Returns the last part that the request shares with others.
    pub fn shared_part(&self) -> Option<&PromptPart> {
        self.prompt_parts
            .len()
            .checked_sub(2)
            .map(|index| &self.prompt_parts[index])
    }
}
