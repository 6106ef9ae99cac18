//! Fake model engine or plain service over HTTP.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use catalog::PoolKind;
use futures_lite::io::BufReader;
use futures_lite::{AsyncRead, Future};
use http_types::{Body, Response, StatusCode};
use kernel::{Clock, SystemClock};
use serde_json::{Value, json};
use smol::Timer;
use web::{BoxFuture, Handler, IncomingRequest};

use crate::call_log::Run;
use crate::completion::{self, Completion};
use crate::faults::EndpointFault;
use crate::state::FakeState;

/// Number of generated tokens when the request sets no `max_tokens`.
const DEFAULT_TOKENS: usize = 8;

/// How long a hung response stays open without a body.
const HANG_DURATION: Duration = Duration::from_secs(3600);

/// HTTP handler of one endpoint.
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) kind: PoolKind,
    pub(crate) checks_fencing: bool,
    pub(crate) state: Arc<FakeState>,
    pub(crate) running: Arc<AtomicU32>,
    pub(crate) clock: SystemClock,
}

/// Counts a call as running until dropped.
struct RunningGuard(Arc<AtomicU32>);

impl RunningGuard {
    fn new(count: &Arc<AtomicU32>) -> RunningGuard {
        count.fetch_add(1, Ordering::Relaxed);
        RunningGuard(count.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A call in progress.
struct Call {
    id: String,
    target: String,
    fault: EndpointFault,
    token_ms: u64,
    run: usize,
    running: RunningGuard,
}

impl Handler for Endpoint {
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        Box::pin(self.respond(incoming))
    }
}

impl Endpoint {
    async fn respond(&self, mut incoming: IncomingRequest) -> Response {
        let path = incoming.path().to_owned();
        let id = incoming
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if path == "/orders" {
            return self.handle_order(incoming).await;
        }
        // Only other programs, which take this for an endpoint that had its port, send no identifier.
        if id.is_empty() {
            return web::json(400, &json!({ "error": "the request has no x-request-id" }));
        }
        let faults = self.state.faults.consume(&self.name);
        let Ok(body) = incoming.read_body().await else {
            return web::json(400, &json!({}));
        };
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if let Some(mut response) = fail_before_run(faults.fault) {
            response.insert_header("x-request-id", id);
            return response;
        }
        let target = match self.kind {
            PoolKind::Engine => value["model"].as_str().unwrap_or_default().to_owned(),
            PoolKind::Service => path.trim_start_matches('/').to_owned(),
        };
        let run = Run {
            request: id.clone(),
            endpoint: self.name.clone(),
            target: target.clone(),
            started_ms: self.clock.wall_ms(),
            finished: false,
        };
        let call = Call {
            id,
            target,
            fault: faults.fault,
            token_ms: self.state.token_ms + faults.slow_ms,
            run: self.state.runs.start(run),
            running: RunningGuard::new(&self.running),
        };
        let mut response = match self.kind {
            PoolKind::Engine => self.run_completion(call, &value).await,
            PoolKind::Service => self.run_service(call, &value).await,
        };
        let load = format!("{};0", self.running.load(Ordering::Relaxed));
        response.insert_header("x-endpoint-load", load);
        response
    }

    async fn handle_order(&self, mut incoming: IncomingRequest) -> Response {
        let body = incoming.read_body().await.unwrap_or_default();
        let order: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let version = order["version"].as_str().unwrap_or_default();
        let fencing = order["fencing"].as_u64().unwrap_or(0);
        let obeyed = self
            .state
            .orders
            .submit(&self.name, version, fencing, self.checks_fencing);
        web::json(if obeyed { 200 } else { 409 }, &json!({ "obeyed": obeyed }))
    }

    async fn run_service(&self, call: Call, value: &Value) -> Response {
        Timer::after(Duration::from_millis(call.token_ms)).await;
        self.state.runs.finish(call.run);
        let body = json!({ "request": call.id, "call": call.target, "done": true, "echo": value });
        self.finish(&call, body)
    }

    async fn run_completion(&self, call: Call, value: &Value) -> Response {
        let tokens = value["max_tokens"]
            .as_u64()
            .map_or(DEFAULT_TOKENS, |count| count as usize);
        let quality = self.state.quality(&call.target);
        let request = call.id.split('/').next().unwrap_or_default();
        let answer = completion::generate(request, &call.target, quality, tokens);
        if value["stream"].as_bool().unwrap_or(false) {
            return self.stream(call, answer);
        }
        let wait_ms = call.token_ms * answer.words.len() as u64;
        if wait_ms > 0 {
            Timer::after(Duration::from_millis(wait_ms)).await;
        }
        self.state.runs.finish(call.run);
        let body = json!({
            "id": format!("chatcmpl-{}", call.id),
            "object": "chat.completion",
            "model": call.target,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": answer.words.join(" ") },
                "finish_reason": "stop",
                "logprobs": { "content": [{ "token": "", "logprob": answer.confidence.max(1e-6).ln() }] },
            }],
            "usage": usage(&answer),
        });
        self.finish(&call, body)
    }

    /// Builds the response to a call that ran, changed by the fault if there is one.
    fn finish(&self, call: &Call, body: Value) -> Response {
        let id = if call.fault == EndpointFault::WrongId {
            "another-call"
        } else {
            &call.id
        };
        let text = body.to_string();
        let mut response = match call.fault {
            EndpointFault::ErrorAfterRun => web::json(500, &json!({ "error": "ran, then failed" })),
            EndpointFault::CutHalf => truncated(text.into_bytes()),
            EndpointFault::Twice => {
                let mut bytes = text.clone().into_bytes();
                let again = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
                    text.len()
                );
                let length = bytes.len();
                bytes.extend(again.into_bytes());
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(Body::from_reader(
                    futures_lite::io::Cursor::new(bytes),
                    Some(length),
                ));
                response
            }
            EndpointFault::ResetAfterRun => truncated(Vec::new()),
            _ => web::json(200, &body),
        };
        response.insert_header("x-request-id", id);
        response
    }

    fn stream(&self, call: Call, answer: Completion) -> Response {
        let id = if call.fault == EndpointFault::WrongId {
            "another-call".to_owned()
        } else {
            call.id.clone()
        };
        let stream = TokenStream::new(call, &answer, self.state.clone());
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(
            BufReader::with_capacity(1024, stream),
            None,
        ));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("x-request-id", id);
        response
    }
}

/// Returns the response of a fault that prevents the call from running, if it is one.
fn fail_before_run(fault: EndpointFault) -> Option<Response> {
    let mut response = match fault {
        EndpointFault::Refuse => web::json(503, &json!({ "error": "full" })),
        EndpointFault::Leaving => {
            let mut response = web::json(503, &json!({ "error": "leaving" }));
            response.insert_header("x-endpoint-leaving", "1");
            response
        }
        EndpointFault::ErrorBeforeRun => {
            return Some(web::json(500, &json!({ "error": "failed" })));
        }
        EndpointFault::ResetBeforeRun => return Some(truncated(Vec::new())),
        EndpointFault::Hang => return Some(hung()),
        _ => return None,
    };
    response.insert_header("x-request-not-started", "1");
    Some(response)
}

/// Makes a response that sends half of the given bytes and then breaks the connection.
fn truncated(mut bytes: Vec<u8>) -> Response {
    let declared = bytes.len() + 100;
    bytes.truncate(bytes.len() / 2);
    let mut response = Response::new(StatusCode::Ok);
    let reader = BrokenReader {
        bytes: bytes.into(),
    };
    response.set_body(Body::from_reader(BufReader::new(reader), Some(declared)));
    response
}

/// Makes a response whose body never arrives.
fn hung() -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let reader = HungReader {
        timer: Timer::after(HANG_DURATION),
    };
    response.set_body(Body::from_reader(BufReader::new(reader), Some(1)));
    response
}

fn usage(answer: &Completion) -> Value {
    json!({ "prompt_tokens": 20, "completion_tokens": answer.words.len() })
}

/// Reader that returns some bytes, then a connection reset.
struct BrokenReader {
    bytes: VecDeque<u8>,
}

impl AsyncRead for BrokenReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let count = buf.len().min(self.bytes.len());
        for (slot, byte) in buf.iter_mut().zip(self.bytes.drain(..count)) {
            *slot = byte;
        }
        Poll::Ready(Ok(count))
    }
}

/// Reader that returns nothing until its timer ends.
struct HungReader {
    timer: Timer,
}

impl AsyncRead for HungReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(Pin::new(&mut self.timer).poll(cx));
        Poll::Ready(Ok(0))
    }
}

/// Reader that returns server-sent events, one token at a time.
struct TokenStream {
    events: VecDeque<Vec<u8>>,
    timer: Option<Timer>,
    token_ms: u64,
    state: Arc<FakeState>,
    run: usize,
    /// Breaks the connection when this many events are left; 0 for never.
    break_at: usize,
    _running: RunningGuard,
}

impl TokenStream {
    fn new(call: Call, answer: &Completion, state: Arc<FakeState>) -> TokenStream {
        let id = format!("chatcmpl-{}", call.id);
        let mut events = VecDeque::new();
        for word in &answer.words {
            let delta = json!({ "content": format!("{word} ") });
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": null });
            events.push_back(event(&id, &call.target, json!([choice]), &Value::Null));
        }
        let last = json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]);
        events.push_back(event(&id, &call.target, last, &Value::Null));
        events.push_back(event(&id, &call.target, json!([]), &usage(answer)));
        events.push_back(b"data: [DONE]\n\n".to_vec());
        let break_at = match call.fault {
            EndpointFault::CutHalf => events.len() / 2,
            EndpointFault::ResetAfterRun => events.len(),
            _ => 0,
        };
        let token_ms = call.token_ms;
        TokenStream {
            events,
            timer: None,
            token_ms,
            state,
            run: call.run,
            break_at,
            _running: call.running,
        }
    }
}

fn event(id: &str, version: &str, choices: Value, usage: &Value) -> Vec<u8> {
    let mut chunk = json!({ "id": id, "object": "chat.completion.chunk", "model": version, "choices": choices });
    if !usage.is_null() {
        chunk["usage"] = usage.clone();
    }
    format!("data: {chunk}\n\n").into_bytes()
}

impl AsyncRead for TokenStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.token_ms > 0 {
            let interval = Duration::from_millis(self.token_ms);
            let timer = self.timer.get_or_insert_with(|| Timer::after(interval));
            ready!(Pin::new(timer).poll(cx));
            self.timer = None;
        }
        if self.break_at > 0 && self.events.len() == self.break_at {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let Some(mut event) = self.events.pop_front() else {
            let run = self.run;
            self.state.runs.finish(run);
            return Poll::Ready(Ok(0));
        };
        let count = buf.len().min(event.len());
        buf[..count].copy_from_slice(&event[..count]);
        if count < event.len() {
            self.events.push_front(event.split_off(count));
        }
        Poll::Ready(Ok(count))
    }
}
