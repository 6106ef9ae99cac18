//! Answers of endpoints in trouble whose heads are no heads of answers.

mod common;

use common::cuts::{CLOSES, Close, Responder, SEALED};
use common::{Harness, Received, route};
use route::RetrySafety;

/// Body of all answers, which is also a whole stream.
const BODY: &str = "id: 1\ndata: x\n\n";

const RETRY_SAFETIES: [RetrySafety; 4] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::NonIdempotentStream,
    RetrySafety::ResumableStream,
];

/// Returns what callers get of an answer whose only endpoint sends it, by each kind of route.
fn receive(answer: &[u8], close: Close) -> Vec<Received> {
    let mut received = Vec::new();
    for retry_safety in RETRY_SAFETIES {
        let endpoint = Responder::start(|_| Vec::new());
        endpoint.set(answer, close);
        let harness = Harness::new(route(retry_safety), &[endpoint.addr], 10.0);
        received.push(harness.send(&[]));
    }
    received
}

/// Returns the cases in which a caller got anything but a failure of the instance, without a body of the
/// endpoint.
fn passed_on(answers: &[(&str, Vec<u8>)]) -> Vec<String> {
    let mut faults = Vec::new();
    for (name, answer) in answers {
        for close in CLOSES {
            for received in receive(answer, close) {
                if received.status != 502 || !received.body.is_empty() {
                    faults.push(format!("{name:?}, {close:?}: {received:?}"));
                }
            }
        }
    }
    faults
}

/// An answer with a status line and a body of known length, sound but for the line.
fn with_status_line(line: &str) -> Vec<u8> {
    let length = BODY.len();
    format!("{line}\r\n{SEALED}Content-Length: {length}\r\n\r\n{BODY}").into_bytes()
}

/// An answer with a line in its head, sound but for it.
fn with_line(line: &[u8]) -> Vec<u8> {
    let answer = with_status_line("HTTP/1.1 200 OK");
    let (status_line, rest) = answer.split_at("HTTP/1.1 200 OK\r\n".len());
    [status_line, line, b"\r\n", rest].concat()
}

/// Users' report: a caller got a status of 000 as an answer.
#[test]
fn answers_without_a_status_of_http_are_not_passed_on() {
    let lines = [
        "HTTP/1.1 000 None",
        "HTTP/1.1 000",
        "HTTP/1.1 001 None",
        "HTTP/1.1 099 None",
        "HTTP/1.1 600 None",
        "HTTP/1.1 999 None",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
    ];
    let mut answers: Vec<_> = lines.map(|line| (line, with_status_line(line))).into();
    let until_close = format!("HTTP/1.1 000 None\r\n{SEALED}\r\n{BODY}").into_bytes();
    answers.push(("status 000 without a length", until_close));
    let faults = passed_on(&answers);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Reported of other systems: the line was passed on, or the body was not that of the endpoint.
#[test]
fn answers_with_odd_names_of_fields_are_not_passed_on() {
    let lines: [&[u8]; 12] = [
        b"x name: 1",
        b"x\tname: 1",
        b" x-name: 1",
        b"x-name : 1",
        b"Content-Length : 3",
        b"Content-Length\t: 3",
        b"Content\x01-Length: 3",
        b"x\x00name: 1",
        b"x\x7fname: 1",
        b"x\xe9name: 1",
        b": 1",
        b"no colon",
    ];
    let answers: Vec<_> = lines
        .iter()
        .map(|line| {
            (
                std::str::from_utf8(line).unwrap_or("not UTF-8"),
                with_line(line),
            )
        })
        .collect();
    let faults = passed_on(&answers);
    assert!(faults.is_empty(), "{faults:#?}");
    let sound = receive(&with_line(b"x-name: 1"), Close::Fin);
    for received in sound {
        assert_eq!((received.status, &*received.body), (200, BODY));
    }
}
