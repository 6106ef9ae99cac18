//! The body of a chat completion request.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::{Failure, Reason};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The length of the message prefix by which an engine is chosen, since its cache may hold it.
const PREFIX_BYTES: usize = 256;

/// The fields that the router sets itself, whatever the caller sends.
const ROUTER_FIELDS: [&str; 5] = ["model", "priority", "stream", "stream_options", "logprobs"];

/// The checked body of a chat completion request.
#[derive(Debug)]
pub(crate) struct ChatRequest {
    /// The requested model or version.
    pub(crate) model: Arc<str>,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    logprobs: bool,
    /// The fields that are passed to the engine unchanged.
    fields: BTreeMap<String, Box<RawValue>>,
}

/// The fields of a message that are checked.
#[derive(Debug, Deserialize)]
struct MessageHead {
    #[serde(default)]
    role: Option<String>,
    #[serde(default)]
    content: Option<IgnoredAny>,
}

fn bad(detail: impl Into<String>) -> Failure {
    Failure::not_run(Reason::BadRequest, detail)
}

impl ChatRequest {
    /// Decodes and checks a body.
    pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, Failure> {
        let mut fields: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(body).map_err(|err| {
                let what = if err.is_data() {
                    "expected an object"
                } else {
                    "it is not JSON"
                };
                bad(format!("the body: {what}: {err}"))
            })?;
        let model: String =
            decode_field(&fields, "model", "the name of a model")?.unwrap_or_default();
        if model.is_empty() {
            return Err(bad("field 'model': expected the name of a model"));
        }
        let stream = decode_field(&fields, "stream", "true or false")?.unwrap_or(false);
        let logprobs = decode_field(&fields, "logprobs", "true or false")?.unwrap_or(false);
        let messages: Option<Vec<MessageHead>> =
            decode_field(&fields, "messages", "an array of messages")?;
        check_messages(&messages.unwrap_or_default())?;
        let tokens: Option<u64> = decode_field(&fields, "max_tokens", "an integer above 0")?;
        if tokens == Some(0) {
            return Err(bad(
                "field 'max_tokens': expected an integer above 0, found 0",
            ));
        }
        fields.retain(|name, _| !ROUTER_FIELDS.contains(&name.as_str()));
        Ok(ChatRequest {
            model: model.into(),
            stream,
            logprobs,
            fields,
        })
    }

    /// Encodes the body for an engine.
    pub(crate) fn engine_body(
        &self,
        version: &str,
        priority: u8,
        stream: bool,
        confidence: bool,
    ) -> Vec<u8> {
        let body = EngineBody {
            model: version,
            priority,
            stream: stream.then_some(true),
            stream_options: stream.then_some(StreamOptions {
                include_usage: true,
            }),
            logprobs: (confidence || self.logprobs).then_some(true),
            fields: &self.fields,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Returns the prefix of the messages that engines may have cached.
    pub(crate) fn prefix(&self) -> &str {
        let text = self
            .fields
            .get("messages")
            .map_or("", |messages| messages.get());
        let end = (0..=text.len().min(PREFIX_BYTES))
            .rev()
            .find(|end| text.is_char_boundary(*end));
        &text[..end.unwrap_or(0)]
    }
}

/// The body that is sent to an engine.
#[derive(Debug, Serialize)]
struct EngineBody<'a> {
    model: &'a str,
    priority: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
    #[serde(skip_serializing_if = "Option::is_none")]
    logprobs: Option<bool>,
    #[serde(flatten)]
    fields: &'a BTreeMap<String, Box<RawValue>>,
}

#[derive(Debug, Serialize)]
struct StreamOptions {
    include_usage: bool,
}

/// Decodes one field, which may be absent or null.
fn decode_field<T: DeserializeOwned>(
    fields: &BTreeMap<String, Box<RawValue>>,
    name: &str,
    expected: &str,
) -> Result<Option<T>, Failure> {
    let Some(raw) = fields.get(name) else {
        return Ok(None);
    };
    serde_json::from_str(raw.get())
        .map_err(|err| bad(format!("field '{name}': expected {expected}: {err}")))
}

fn check_messages(messages: &[MessageHead]) -> Result<(), Failure> {
    if messages.is_empty() {
        return Err(bad(
            "field 'messages': expected an array of one or more messages",
        ));
    }
    for (index, message) in messages.iter().enumerate() {
        if message.role.is_none() {
            return Err(bad(format!(
                "field 'messages[{index}].role': expected a string"
            )));
        }
        if message.content.is_none() {
            return Err(bad(format!(
                "field 'messages[{index}].content': expected the message's content"
            )));
        }
    }
    Ok(())
}
