//! What callers read from their connection of an answer that is cut at the endpoint.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use common::carrier::Listener;
use common::cuts::{Responder, SEALED, number_after, resumed_stream};
use common::outcomes::{answers, cut_everywhere};
use common::{Harness, Received, route};
use route::RetrySafety;

/// Sends a request and reads until the connection ends.
fn call(addr: SocketAddr) -> Received {
    let mut stream = TcpStream::connect(addr).unwrap();
    let request = "GET /x/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let mut block = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut block) {
        bytes.extend_from_slice(&block[..count]);
    }
    parse(&String::from_utf8(bytes).unwrap())
}

/// Parses an answer by its framing, which it must have.
fn parse(text: &str) -> Received {
    let (head, encoded) = text.split_once("\r\n\r\n").unwrap();
    let verdict = head
        .lines()
        .find_map(|line| line.strip_prefix("x-verdict: "));
    let (body, is_complete) = match number_after(head, "Content-Length: ") {
        Some(length) => (encoded.to_owned(), encoded.len() as u64 == length),
        None => decode_chunks(encoded),
    };
    Received {
        status: head.split(' ').nth(1).unwrap().parse().unwrap(),
        verdict: verdict.map(str::to_owned),
        body,
        is_complete,
    }
}

/// Returns the text in chunks, and whether the last chunk and nothing more follows.
fn decode_chunks(mut encoded: &str) -> (String, bool) {
    let mut body = String::new();
    loop {
        let Some((size, rest)) = encoded.split_once("\r\n") else {
            return (body, false);
        };
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, rest == "\r\n");
        }
        body.push_str(&rest[..size]);
        encoded = rest[size..].strip_prefix("\r\n").unwrap();
    }
}

fn cut_at_endpoint(retry_safety: RetrySafety) {
    let listener = Listener::start();
    let first = Responder::start(|_| Vec::new());
    let plain = format!("HTTP/1.1 200 OK\r\n{SEALED}Content-Length: 6\r\n\r\nsecond");
    let second = Responder::start(move |head| {
        if retry_safety.is_stream() {
            resumed_stream(head, 3)
        } else {
            plain.clone().into_bytes()
        }
    });
    cut_everywhere(retry_safety, &answers(retry_safety), |answer, close| {
        first.set(answer, close);
        drop(second.take_heads());
        let addrs = [first.addr, second.addr];
        let harness = Harness::new(route(retry_safety), &addrs, 10.0);
        listener.set(harness.pipeline.clone());
        let addr = listener.addr;
        let (sender, received) = async_channel::bounded(1);
        std::thread::spawn(move || sender.send_blocking(call(addr)));
        let received = async_io::block_on(listener.executor.run(received.recv()));
        (received.unwrap(), second.take_heads().len())
    });
}

#[test]
fn callers_get_a_whole_answer_to_an_idempotent_request() {
    cut_at_endpoint(RetrySafety::Idempotent);
}

#[test]
fn callers_get_no_part_of_an_answer_to_a_non_idempotent_request() {
    cut_at_endpoint(RetrySafety::NonIdempotent);
}

#[test]
fn callers_get_each_event_of_a_resumable_stream_once() {
    cut_at_endpoint(RetrySafety::ResumableStream);
}

#[test]
fn callers_get_no_last_chunk_of_a_stream_that_cannot_resume() {
    cut_at_endpoint(RetrySafety::NonIdempotentStream);
}
