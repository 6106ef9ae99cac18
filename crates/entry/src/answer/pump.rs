//! The rest of a streamed answer.

use std::io;
use std::sync::Arc;

use kernel::{Failure, Reason};
use serde_json::{Value, json};
use upstream::{Completion, Event, EventReader, UpstreamResponse, Usage};

use crate::answer::billing::Billing;
use crate::answer::body::Sink;
use crate::answer::calls::Begun;
use crate::answer::context::Context;
use crate::answer::deadline::within;
use crate::answer::plan::Leg;
use crate::answer::teach::{CallEnd, Teacher};
use crate::state::messages::CallOutcome;
use crate::state::shared::Shared;

/// The event that ends an answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// The longest text that is kept for rating, in bytes.
const MAX_SAMPLE_BYTES: usize = 16 << 10;

/// Hands the events of an engine on, bills them, and ends the answer once the receipt is durable.
pub(crate) struct Pump {
    version: Arc<str>,
    state: State,
}

enum State {
    /// The answer is there.
    Ready(Vec<u8>),
    /// The engine still answers.
    Live(Box<Live>),
}

struct Live {
    shared: Arc<Shared>,
    context: Arc<Context>,
    leg: Leg,
    teacher: Teacher,
    billing: Billing,
    started: UpstreamResponse,
    events: EventReader,
    first: Option<Event>,
    usage: Option<Usage>,
    tokens: u64,
    text: String,
    sampled: bool,
}

impl Pump {
    /// Makes a pump for an answer that is there.
    pub(crate) fn ready(bytes: Vec<u8>, version: Arc<str>) -> Pump {
        Pump {
            version,
            state: State::Ready(bytes),
        }
    }

    /// Makes a pump for an answer whose first event came.
    pub(crate) fn new(
        shared: Arc<Shared>,
        context: Arc<Context>,
        leg: Leg,
        teacher: Teacher,
        billing: Billing,
        begun: Begun,
    ) -> Pump {
        let Begun {
            started,
            events,
            first,
        } = begun;
        let version = leg.version.name.clone();
        let sampled = leg.exposed.is_some() || teacher.sample_share > 0.0;
        let live = Live {
            shared,
            context,
            leg,
            teacher,
            billing,
            started,
            events,
            first: Some(first),
            usage: None,
            tokens: 0,
            text: String::new(),
            sampled,
        };
        Pump {
            version,
            state: State::Live(Box::new(live)),
        }
    }

    /// Returns the version that answers.
    pub(crate) fn version_name(&self) -> Arc<str> {
        self.version.clone()
    }

    /// Hands the answer on to its end.
    pub(crate) async fn run(self, sink: Sink) -> io::Result<()> {
        match self.state {
            State::Ready(bytes) => {
                sink.push(&bytes).await;
                Ok(())
            }
            State::Live(live) => live.run(sink).await,
        }
    }
}

impl Live {
    async fn run(mut self: Box<Live>, sink: Sink) -> io::Result<()> {
        self.billing.first_token();
        loop {
            match self.next().await {
                Ok(event) if event.is_done() => break,
                Ok(event) => {
                    self.read(&event);
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
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        let shared = self.shared.clone();
        let context = self.context.clone();
        let read = async {
            match self.events.next(&mut self.started).await {
                Ok(Some(event)) => Ok(event),
                Ok(None) => Err(broken("the answer ended before its last event")),
                Err(err) => Err(broken(&format!("the answer broke off: {err}"))),
            }
        };
        within(&shared, &context, read).await
    }

    /// Reads the usage, the number of tokens and, for a sampled answer, the text of an event.
    fn read(&mut self, event: &Event) {
        self.tokens += 1;
        let data = event.data();
        let may_hold_usage = data.windows(7).any(|window| window == b"\"usage\"");
        let keeps_text = self.sampled && self.text.len() < MAX_SAMPLE_BYTES;
        if !may_hold_usage && !keeps_text {
            return;
        }
        let Ok(read) = Completion::parse_event(data) else {
            return;
        };
        self.usage = read.usage.or(self.usage);
        if keeps_text {
            self.text.push_str(&read.text);
        }
    }

    fn fail(self: Box<Live>) {
        let Live {
            shared,
            context,
            leg,
            teacher,
            mut billing,
            mut started,
            ..
        } = *self;
        started.fail();
        billing.add(
            &leg.version,
            Usage {
                prompt_tokens: 0,
                completion_tokens: self.tokens,
            },
        );
        billing.failed();
        teacher.teach(&shared, &context, CallEnd::failed(leg));
    }

    /// Ends the call, and waits until the receipt is durable.
    async fn end(self: Box<Live>) {
        let Live {
            shared,
            context,
            leg,
            teacher,
            mut billing,
            mut started,
            mut events,
            usage,
            tokens,
            text,
            ..
        } = *self;
        // Only an answer that was read to its very end leaves a connection that may be used again.
        match events.next(&mut started).await {
            Ok(None) => started.finish(),
            _ => started.fail(),
        }
        let counted = Usage {
            prompt_tokens: 0,
            completion_tokens: tokens,
        };
        billing.add(&leg.version, usage.unwrap_or(counted));
        let in_time = billing.answered().await;
        let ending = if in_time {
            CallOutcome::Answered
        } else {
            CallOutcome::Slow
        };
        teacher.teach(&shared, &context, CallEnd::streamed(leg, text, ending));
    }
}

fn broken(detail: &str) -> Failure {
    Failure::may_have_run(Reason::EndpointFailed, detail)
}

/// Makes the event that tells the caller that the answer is not whole.
fn error_event(failure: &Failure) -> Vec<u8> {
    let error = json!({ "error": {
        "message": failure.detail,
        "type": failure.reason.as_str(),
        "verdict": failure.verdict.as_str(),
    }});
    format!("data: {error}\n\n").into_bytes()
}

/// Writes a whole answer as the events of a stream.
pub(crate) fn as_events(answer: &[u8]) -> Vec<u8> {
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
