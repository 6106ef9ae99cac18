//! Decoded requests of callers.

use std::sync::Arc;

/// A part of a prompt that several requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that identifies the content.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Tokens that a request reads and may generate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_answer_tokens: u32,
}

/// One request of a caller, independent of the protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Identifier of this request. A retry by the caller has a new one.
    pub id: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Time until the caller gives up, in milliseconds from arrival.
    pub remaining_ms: Option<u64>,
    /// API key that identifies the caller's workspace.
    pub key: Option<String>,
    /// Whether the router chooses the model size.
    pub any_size: bool,
    /// Declared token counts.
    pub token_usage: TokenUsage,
    /// Length of the answer that the caller expects, in tokens.
    pub length_hint: Option<u32>,
    /// Parts of the prompt in order. The last is specific to this request.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event that the caller received, after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Session that the request belongs to.
    pub session: Option<Arc<str>>,
}

impl RequestInfo {
    /// Returns the number of tokens that no other request shares.
    pub fn new_tokens(&self) -> u32 {
        match self.prompt_parts.last() {
            Some(part) => part.tokens,
            None => self.token_usage.prompt_tokens,
        }
    }

    /// Returns the last part of the prompt that other requests may share.
    pub fn shared_part(&self) -> Option<&PromptPart> {
        self.prompt_parts
            .len()
            .checked_sub(2)
            .map(|index| &self.prompt_parts[index])
    }
}
