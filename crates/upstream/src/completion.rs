//! What the router reads of an engine's answer.

use std::borrow::Cow;

use serde::Deserialize;

/// The tokens that an answer used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the cost at prices for 1,000 tokens, in millionths of the currency unit.
    pub fn cost_micros(&self, prompt_price: u64, completion_price: u64) -> u64 {
        (self.prompt_tokens * prompt_price + self.completion_tokens * completion_price) / 1000
    }
}

/// The fields of an answer, whole or one event of a stream.
#[derive(Debug, Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, alias = "delta")]
    message: Option<Message<'a>>,
    #[serde(default)]
    logprobs: Option<Logprobs>,
}

#[derive(Debug, Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Logprobs {
    #[serde(default)]
    content: Option<Vec<TokenLogprob>>,
}

#[derive(Debug, Deserialize)]
struct TokenLogprob {
    logprob: f64,
}

/// What an answer, or one event of a stream, says.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// The tokens, if it says.
    pub usage: Option<Usage>,
    /// The mean probability of the tokens, if the engine gave it.
    pub confidence: Option<f64>,
    /// The text of the first choice.
    pub text: String,
}

impl Completion {
    /// Reads a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when it is not JSON or holds no choice.
    pub fn parse(bytes: &[u8]) -> Result<Completion, String> {
        let fields: Fields<'_> = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
        if fields.choices.is_empty() {
            return Err("the answer holds no choice".to_owned());
        }
        Ok(fields.into())
    }

    /// Reads one event of a stream, which may hold no choice.
    ///
    /// # Errors
    ///
    /// Fails when it is not JSON.
    pub fn parse_event(bytes: &[u8]) -> Result<Completion, String> {
        let fields: Fields<'_> = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
        Ok(fields.into())
    }
}

impl From<Fields<'_>> for Completion {
    fn from(fields: Fields<'_>) -> Completion {
        let usage = fields.usage;
        let Some(choice) = fields.choices.into_iter().next() else {
            return Completion {
                usage,
                confidence: None,
                text: String::new(),
            };
        };
        let content = choice.message.and_then(|message| message.content);
        let tokens = choice
            .logprobs
            .and_then(|logprobs| logprobs.content)
            .unwrap_or_default();
        let sum: f64 = tokens.iter().map(|token| token.logprob).sum();
        let confidence = (!tokens.is_empty()).then(|| (sum / tokens.len() as f64).exp());
        Completion {
            usage,
            confidence,
            text: content.unwrap_or_default().into_owned(),
        }
    }
}
