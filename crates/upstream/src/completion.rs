//! The fields of an engine's response that the router reads.

use std::borrow::Cow;

use serde::Deserialize;

/// Token counts of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the cost, in millionths of the currency unit, at prices in the same unit per 1,000
    /// tokens.
    pub fn cost_micros(&self, prompt_price: u64, completion_price: u64) -> u64 {
        (self.prompt_tokens * prompt_price + self.completion_tokens * completion_price) / 1000
    }
}

/// The JSON of a complete response or of one streamed event.
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

/// The contents of a complete response or of one streamed event.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// The token counts, if reported.
    pub usage: Option<Usage>,
    /// The geometric mean of the token probabilities, from 0 to 1, if the engine sent logprobs.
    pub confidence: Option<f64>,
    /// The text of the first choice; empty if there is none.
    pub text: String,
}

impl Completion {
    /// Parses a complete response.
    ///
    /// # Errors
    ///
    /// Fails if it is not valid JSON or has no choices.
    pub fn parse(bytes: &[u8]) -> Result<Completion, String> {
        let fields: Fields<'_> = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
        if fields.choices.is_empty() {
            return Err("the response has no choices".to_owned());
        }
        Ok(fields.into())
    }

    /// Parses one streamed event, which may have no choices, such as the final usage event.
    ///
    /// # Errors
    ///
    /// Fails if it is not valid JSON.
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
