//! Chat completions: the request body and the path of a request.

use std::sync::Arc;

use http_types::Response;
use kernel::{Failure, Reason};
use serde_json::{Map, Value};
use web::Incoming;

use crate::context::Context;
use crate::execute::{self, Job};
use crate::keyed;
use crate::plan;
use crate::shared::Shared;

/// The body of a chat completion, checked.
#[derive(Debug, Clone)]
pub(crate) struct ChatRequest {
    /// The model or version asked for.
    pub(crate) model: Arc<str>,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// All fields, as the caller sent them.
    pub(crate) fields: Map<String, Value>,
}

impl ChatRequest {
    /// Reads a body.
    pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, Failure> {
        let bad = |detail: String| Failure::not_run(Reason::BadRequest, detail);
        let value: Value = serde_json::from_slice(body)
            .map_err(|err| bad(format!("the body is not JSON: {err}")))?;
        let Value::Object(fields) = value else {
            return Err(bad("the body: expected an object".to_owned()));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.as_str().into(),
            _ => return Err(bad("field 'model': expected the name of a model".to_owned())),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(other) => {
                return Err(bad(format!(
                    "field 'stream': expected true or false, found {other}"
                )));
            }
        };
        match fields.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => check_messages(messages)?,
            _ => {
                return Err(bad(
                    "field 'messages': expected an array of one or more messages".to_owned(),
                ));
            }
        }
        match fields.get("max_tokens") {
            None | Some(Value::Null) => {}
            Some(count) if count.as_u64().is_some_and(|count| count > 0) => {}
            Some(other) => {
                return Err(bad(format!(
                    "field 'max_tokens': expected a whole number above 0, found {other}"
                )));
            }
        }
        Ok(ChatRequest {
            model,
            stream,
            fields,
        })
    }

    /// Returns the body that an engine gets.
    pub(crate) fn engine_body(
        &self,
        version: &str,
        priority: u8,
        stream: bool,
        confidence: bool,
    ) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.insert("model".to_owned(), version.into());
        fields.insert("priority".to_owned(), priority.into());
        if stream {
            fields.insert(
                "stream_options".to_owned(),
                serde_json::json!({ "include_usage": true }),
            );
        } else {
            fields.remove("stream");
        }
        if confidence {
            fields.insert("logprobs".to_owned(), true.into());
        }
        serde_json::to_vec(&fields).unwrap_or_default()
    }

    /// Returns the text of the first message, whose prefix engines cache.
    pub(crate) fn first_text(&self) -> String {
        self.fields["messages"][0]["content"].to_string()
    }
}

fn check_messages(messages: &[Value]) -> Result<(), Failure> {
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            let detail = format!("field 'messages[{index}].role': expected a text");
            return Err(Failure::not_run(Reason::BadRequest, detail));
        }
        if message.get("content").is_none() {
            let detail =
                format!("field 'messages[{index}].content': expected the message's content");
            return Err(Failure::not_run(Reason::BadRequest, detail));
        }
    }
    Ok(())
}

/// Answers a chat completion.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    incoming: Incoming,
    body: Vec<u8>,
) -> Result<Response, Failure> {
    let context = Context::read(&shared, &incoming)?;
    let chat = ChatRequest::parse(&body)?;
    context.check_serving(&shared)?;
    if context.key.is_some() {
        let prepare =
            Box::new(move |context: &Context, shared: &Shared| prepare(shared, context, chat));
        return keyed::answer(shared, context, incoming, body, prepare).await;
    }
    if context.non_idempotent {
        let detail = "a non-idempotent request needs a header 'Idempotency-Key'";
        return Err(Failure::not_run(Reason::BadRequest, detail));
    }
    let job = prepare(&shared, &context, chat)?;
    execute::respond(shared, context, job).await
}

/// Takes the request's quota and plans its path.
fn prepare(shared: &Shared, context: &Context, chat: ChatRequest) -> Result<Job, Failure> {
    let path = plan::chat(shared, context, &chat)?;
    crate::quota::admit(shared, context)?;
    Ok(Job::Chat { chat, path })
}
