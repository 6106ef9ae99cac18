//! Endpoints and peers whose answers end at any byte, and what callers may get of them.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

use super::{Health, answer_health, chunk, ids, read_head, stream_end};

/// How the sender of an answer ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Close {
    Fin,
    Reset,
}

pub const CLOSES: [Close; 2] = [Close::Fin, Close::Reset];

type Answering = dyn Fn(&str) -> Vec<u8> + Send;

struct Script {
    answering: Box<Answering>,
    close: Close,
    heads: Vec<String>,
}

/// Answers the request of a connection.
fn respond(mut stream: TcpStream, shared: &Mutex<Script>) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    if answer_health(&mut stream, &head, Health::After(0), None) {
        return;
    }
    let mut script = shared.lock().unwrap();
    let answer = (script.answering)(&head);
    script.heads.push(head);
    let close = script.close;
    drop(script);
    end_after(stream, &answer, close);
}

/// An endpoint or a peer that answers one request for each connection by a script that can be replaced.
pub struct Responder {
    pub addr: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl Responder {
    /// Starts one that answers by what the head of a request says.
    pub fn start(answering: impl Fn(&str) -> Vec<u8> + Send + 'static) -> Responder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(Script {
            answering: Box::new(answering),
            close: Close::Fin,
            heads: Vec::new(),
        }));
        let shared = script.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || respond(stream, &shared));
            }
        });
        Responder { addr, script }
    }

    /// Replaces the script by one answer, forgets the requests, and returns the responder.
    pub fn set(&self, answer: &[u8], close: Close) {
        let answer = answer.to_vec();
        self.set_with(move |_| answer.clone(), close);
    }

    /// Replaces the script and forgets the requests.
    pub fn set_with(&self, answering: impl Fn(&str) -> Vec<u8> + Send + 'static, close: Close) {
        let mut script = self.script.lock().unwrap();
        script.answering = Box::new(answering);
        script.close = close;
        script.heads.clear();
    }

    /// Returns the heads of the requests since the script was set, and forgets them.
    pub fn take_heads(&self) -> Vec<String> {
        std::mem::take(&mut self.script.lock().unwrap().heads)
    }
}

/// Writes bytes and ends the connection.
pub fn end_after(mut stream: TcpStream, bytes: &[u8], close: Close) {
    if stream.write_all(bytes).is_ok() && close == Close::Reset {
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// How the end of an answer's body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    Length,
    Chunked,
    Connection,
}

pub const BODY_ENDS: [BodyEnd; 3] = [BodyEnd::Length, BodyEnd::Chunked, BodyEnd::Connection];

/// A complete answer, with the places in it that a cut is measured by.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    pub bytes: Vec<u8>,
    pub head_bytes: usize,
    /// For each byte of the body, the number of bytes of the answer up to it.
    body_at: Vec<usize>,
    body: String,
}

impl WholeAnswer {
    /// Encodes a body in pieces, which are its chunks if it has some.
    pub fn new(fields: &str, body_end: BodyEnd, pieces: &[&str]) -> WholeAnswer {
        let body = pieces.concat();
        let framing = match body_end {
            BodyEnd::Length => format!("Content-Length: {}\r\n", body.len()),
            BodyEnd::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            BodyEnd::Connection => String::new(),
        };
        let mut bytes = format!("HTTP/1.1 200 OK\r\n{fields}{framing}\r\n").into_bytes();
        let head_bytes = bytes.len();
        let mut body_at = Vec::new();
        for piece in pieces {
            let encoded = match body_end {
                BodyEnd::Chunked => chunk_text(piece),
                _ => (*piece).to_owned(),
            };
            let start = bytes.len() + encoded.find(piece).unwrap();
            body_at.extend((1..=piece.len()).map(|count| start + count));
            bytes.extend_from_slice(encoded.as_bytes());
        }
        if body_end == BodyEnd::Chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        WholeAnswer {
            bytes,
            head_bytes,
            body_at,
            body,
        }
    }

    /// Returns what the first bytes of the answer hold of its body.
    pub fn body_before(&self, cut: usize) -> &str {
        let count = self.body_at.partition_point(|at| *at <= cut);
        &self.body[..count]
    }

    /// Returns the complete events in the first bytes of the answer.
    pub fn events_before(&self, cut: usize) -> &str {
        let body = self.body_before(cut);
        let end = body.rfind("\n\n").map_or(0, |end| end + 2);
        &body[..end]
    }
}

fn chunk_text(text: &str) -> String {
    written(&chunk(text))
}

fn written(step: &super::Step) -> String {
    match step {
        super::Step::Write(text) => text.clone(),
        step => panic!("{step:?} writes nothing"),
    }
}

/// The header fields by which endpoints vouch for an answer.
pub const SEALED: &str = "x-id: 1\r\nx-seal: s\r\n";

/// The header fields of an answer that is a stream of events.
pub const SEALED_EVENTS: &str = "x-id: 1\r\nx-seal: s\r\nContent-Type: text/event-stream\r\n";

/// Returns the text of events.
pub fn event_text(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

/// Returns a stream in chunks that goes on after the event that the head of a request names, and ends
/// after `last`.
pub fn resumed_stream(head: &str, last: u64) -> Vec<u8> {
    resumed_stream_with(SEALED_EVENTS, head, last)
}

/// Returns such a stream with these header fields.
pub fn resumed_stream_with(fields: &str, head: &str, last: u64) -> Vec<u8> {
    let after = number_after(head, "x-after: ")
        .or_else(|| number_after(head, "\"resume_after\":"))
        .unwrap_or_default();
    let text = event_text(after + 1..=last);
    let body = if text.is_empty() {
        String::new()
    } else {
        chunk_text(&text)
    };
    let end = written(&stream_end());
    let head = format!("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");
    format!("{head}{body}{end}").into_bytes()
}

/// Returns the number after the first occurrence of a text.
pub fn number_after(head: &str, text: &str) -> Option<u64> {
    let (_, rest) = head.split_once(text)?;
    let digits = rest.split(|char: char| !char.is_ascii_digit()).next()?;
    digits.parse().ok()
}

/// Returns the events of a body by number, after a check that the body holds nothing else.
pub fn pure_ids(body: &str) -> Vec<u64> {
    let found = ids(body);
    let expected: String = found.iter().map(|id| event_text(*id..=*id)).collect();
    assert_eq!(body, expected, "the body holds more than events");
    found
}
