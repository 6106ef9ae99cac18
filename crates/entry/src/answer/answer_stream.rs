//! Passes a streamed answer on to the caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use kernel::{Failure, Reason};
use serde_json::{Value, json};
use smol::Timer;
use upstream::{Completion, Event, EventReader, UpstreamResponse, Usage};

use crate::answer::billing::Billing;
use crate::answer::body::Sink;
use crate::answer::context::Context;
use crate::answer::deadline::with_deadline;
use crate::answer::finished_call::{CallReporter, FinishedCall};
use crate::answer::plan::PlannedCall;
use crate::answer::upstream_calls::StartedStream;
use crate::state::messages::CallOutcome;
use crate::state::shared::Shared;

/// The last event of an answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// How long the end of the engine's response may take after its last event.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(100);

/// The size from which no more text of an answer is collected for rating.
const MAX_SAMPLE_BYTES: usize = 16 << 10;

/// Passes the events of an engine on and bills them. The last event follows once the receipt is
/// durable.
pub(crate) struct AnswerStream {
    version: Arc<str>,
    state: State,
}

enum State {
    /// The answer is complete.
    Complete(Vec<u8>),
    /// The engine is still sending the answer.
    Live(Box<Live>),
}

struct Live {
    shared: Arc<Shared>,
    context: Arc<Context>,
    call: PlannedCall,
    reporter: CallReporter,
    billing: Billing,
    response: UpstreamResponse,
    events: EventReader,
    first_event: Option<Event>,
    usage: Option<Usage>,
    tokens: u64,
    text: String,
    is_sampled: bool,
}

impl AnswerStream {
    /// Creates a stream from the events of a complete answer.
    pub(crate) fn from_complete(bytes: Vec<u8>, version: Arc<str>) -> AnswerStream {
        AnswerStream {
            version,
            state: State::Complete(bytes),
        }
    }

    /// Creates a stream from an answer whose first event was received.
    pub(crate) fn new(
        shared: Arc<Shared>,
        context: Arc<Context>,
        call: PlannedCall,
        reporter: CallReporter,
        billing: Billing,
        started: StartedStream,
    ) -> AnswerStream {
        let StartedStream {
            response,
            events,
            first_event,
        } = started;
        let version = call.version.name.clone();
        let is_sampled = call.exposure_permit.is_some() || reporter.sample_share > 0.0;
        let live = Live {
            shared,
            context,
            call,
            reporter,
            billing,
            response,
            events,
            first_event: Some(first_event),
            usage: None,
            tokens: 0,
            text: String::new(),
            is_sampled,
        };
        AnswerStream {
            version,
            state: State::Live(Box::new(live)),
        }
    }

    /// Returns the name of the version that answers.
    pub(crate) fn version_name(&self) -> Arc<str> {
        self.version.clone()
    }

    /// Writes the answer to `sink` until its end.
    pub(crate) async fn run(self, sink: Sink) -> io::Result<()> {
        match self.state {
            State::Complete(bytes) => {
                sink.push(&bytes).await;
                Ok(())
            }
            State::Live(live) => live.run(sink).await,
        }
    }
}

impl Live {
    async fn run(mut self: Box<Live>, sink: Sink) -> io::Result<()> {
        self.billing.record_first_token();
        loop {
            match self.next().await {
                Ok(event) if event.is_done() => break,
                Ok(event) => {
                    self.record_event(&event);
                    sink.push(&event.bytes).await;
                }
                Err(failure) => {
                    sink.push(&error_event(&failure)).await;
                    self.fail();
                    return Ok(());
                }
            }
        }
        self.end().await;
        sink.push(DONE).await;
        Ok(())
    }

    async fn next(&mut self) -> Result<Event, Failure> {
        if let Some(event) = self.first_event.take() {
            return Ok(event);
        }
        let shared = self.shared.clone();
        let context = self.context.clone();
        let read = async {
            match self.events.next(&mut self.response).await {
                Ok(Some(event)) => Ok(event),
                Ok(None) => Err(broken_off("the answer ended before its last event")),
                Err(err) => Err(broken_off(&format!("the answer broke off: {err}"))),
            }
        };
        with_deadline(&shared, &context, read).await
    }

    /// Records the usage and the token of an event and, for a sampled answer, its text.
    fn record_event(&mut self, event: &Event) {
        self.tokens += 1;
        let data = event.data();
        let may_hold_usage = data.windows(7).any(|window| window == b"\"usage\"");
        let collects_text = self.is_sampled && self.text.len() < MAX_SAMPLE_BYTES;
        if !may_hold_usage && !collects_text {
            return;
        }
        let Ok(completion) = Completion::parse_event(data) else {
            return;
        };
        self.usage = completion.usage.or(self.usage);
        if collects_text {
            self.text.push_str(&completion.text);
        }
    }

    fn fail(self: Box<Live>) {
        let Live {
            shared,
            context,
            call,
            reporter,
            mut billing,
            mut response,
            ..
        } = *self;
        response.fail();
        billing.add_usage(
            &call.version,
            Usage {
                prompt_tokens: 0,
                completion_tokens: self.tokens,
            },
        );
        billing.failed();
        reporter.send(&shared, &context, FinishedCall::failed(call));
    }

    /// Ends the call and waits until the receipt is durable.
    async fn end(self: Box<Live>) {
        let Live {
            shared,
            context,
            call,
            reporter,
            mut billing,
            mut response,
            mut events,
            usage,
            tokens,
            text,
            ..
        } = *self;
        // The connection can only be reused after the response was read to its end.
        let end = async { Some(events.next(&mut response).await) };
        let expire = async {
            Timer::after(RESPONSE_END_TIMEOUT).await;
            None
        };
        match end.or(expire).await {
            Some(Ok(None)) | None => response.finish(),
            Some(Ok(Some(_)) | Err(_)) => response.fail(),
        }
        let counted = Usage {
            prompt_tokens: 0,
            completion_tokens: tokens,
        };
        billing.add_usage(&call.version, usage.unwrap_or(counted));
        let in_time = billing.answered().await;
        let outcome = if in_time {
            CallOutcome::Answered
        } else {
            CallOutcome::Slow
        };
        reporter.send(
            &shared,
            &context,
            FinishedCall::streamed(call, text, outcome),
        );
    }
}

fn broken_off(detail: &str) -> Failure {
    Failure::may_have_run(Reason::EndpointFailed, detail)
}

/// Encodes the event that reports a truncated answer to the caller.
fn error_event(failure: &Failure) -> Vec<u8> {
    let error = json!({ "error": {
        "message": failure.detail,
        "type": failure.reason.as_str(),
        "verdict": failure.verdict.as_str(),
    }});
    format!("data: {error}\n\n").into_bytes()
}

/// Encodes a complete answer as the events of a stream.
pub(crate) fn to_events(answer: &[u8]) -> Vec<u8> {
    let value: Value = serde_json::from_slice(answer).unwrap_or_default();
    let content = &value["choices"][0]["message"]["content"];
    let delta = json!({ "role": "assistant", "content": content });
    let mut chunk = json!({
        "id": value["id"],
        "object": "chat.completion.chunk",
        "model": value["model"],
        "choices": [{ "index": 0, "delta": delta, "finish_reason": "stop" }],
    });
    chunk["usage"] = value["usage"].clone();
    format!("data: {chunk}\n\ndata: [DONE]\n\n").into_bytes()
}
