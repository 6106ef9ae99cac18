//! What the router reads of an engine's answer.

use serde_json::Value;

/// The tokens that an answer used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

impl Usage {
    /// Reads the usage of an answer or event.
    pub fn read(value: &Value) -> Option<Usage> {
        let usage = value.get("usage")?;
        Some(Usage {
            prompt_tokens: usage.get("prompt_tokens")?.as_u64()?,
            completion_tokens: usage.get("completion_tokens")?.as_u64()?,
        })
    }

    /// Returns the cost at prices for 1,000 tokens, in millionths of the currency unit.
    pub fn cost_micros(&self, prompt_price: u64, completion_price: u64) -> u64 {
        (self.prompt_tokens * prompt_price + self.completion_tokens * completion_price) / 1000
    }

    /// Adds another usage.
    pub fn add(&mut self, other: Usage) {
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
    }
}

/// A whole answer of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// The answer.
    pub value: Value,
    /// The tokens.
    pub usage: Usage,
    /// The mean probability of the tokens, if the engine gave it.
    pub confidence: Option<f64>,
}

impl Completion {
    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Fails when it is not JSON or holds no choice.
    pub fn parse(bytes: &[u8]) -> Result<Completion, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
        if value["choices"].get(0).is_none() {
            return Err("the answer holds no choice".to_owned());
        }
        let usage = Usage::read(&value).unwrap_or_default();
        let confidence = confidence(&value);
        Ok(Completion {
            value,
            usage,
            confidence,
        })
    }

    /// Returns the answer's text.
    pub fn text(&self) -> &str {
        self.value["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
    }
}

fn confidence(value: &Value) -> Option<f64> {
    let tokens = value["choices"][0]["logprobs"]["content"].as_array()?;
    let logs: Vec<f64> = tokens
        .iter()
        .filter_map(|token| token["logprob"].as_f64())
        .collect();
    if logs.is_empty() {
        return None;
    }
    Some((logs.iter().sum::<f64>() / logs.len() as f64).exp())
}
