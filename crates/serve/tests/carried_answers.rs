//! Answers that are cut on their way through a peer: at the endpoint, or between the peer and the home.

mod common;

use std::sync::{Arc, Mutex};

use common::carrier::{Carrier, RefusingAddr, ask, home};
use common::cuts::{
    BodyEnd, Close, Responder, SEALED, WholeAnswer, event_text, resumed_stream, resumed_stream_with,
};
use common::outcomes::{answers, cut_everywhere};
use common::route;
use route::{RetrySafety, Route};

const RETRY_SAFETIES: [RetrySafety; 4] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::ResumableStream,
    RetrySafety::NonIdempotentStream,
];

/// A route whose requests may run once more at the peer and once more at another.
fn carried_route(retry_safety: RetrySafety) -> Route {
    route(retry_safety).max_attempts(3)
}

fn second_answer(retry_safety: RetrySafety, fields: String) -> impl Fn(&str) -> Vec<u8> + Clone {
    let whole = WholeAnswer::new(&fields, BodyEnd::Length, &["second"]).bytes;
    move |head: &str| {
        if retry_safety.is_stream() {
            resumed_stream_with(&fields, head, 3)
        } else {
            whole.clone()
        }
    }
}

fn cut_at_endpoint(retry_safety: RetrySafety) {
    let carrier = Carrier::start();
    let first = Responder::start(|_| Vec::new());
    let second = Responder::start(second_answer(retry_safety, SEALED.to_owned()));
    let route = carried_route(retry_safety);
    cut_everywhere(retry_safety, &answers(retry_safety), |answer, close| {
        first.set(answer, close);
        drop(second.take_heads());
        let received = carrier.send(&route, carrier.addr, &[first.addr, second.addr]);
        (received, second.take_heads().len())
    });
}

#[test]
fn an_idempotent_request_whose_answer_is_cut_at_the_endpoint_runs_elsewhere() {
    cut_at_endpoint(RetrySafety::Idempotent);
}

#[test]
fn a_non_idempotent_request_whose_answer_is_cut_at_the_endpoint_fails() {
    cut_at_endpoint(RetrySafety::NonIdempotent);
}

#[test]
fn a_resumable_stream_that_is_cut_at_the_endpoint_has_each_event_once() {
    cut_at_endpoint(RetrySafety::ResumableStream);
}

#[test]
fn a_stream_that_is_cut_at_the_endpoint_and_cannot_resume_is_incomplete() {
    cut_at_endpoint(RetrySafety::NonIdempotentStream);
}

/// Returns the answer of a real peer to the home of a request.
fn record_carried_answer(retry_safety: RetrySafety) -> WholeAnswer {
    let whole = if retry_safety.is_stream() {
        resumed_stream("", 3)
    } else {
        WholeAnswer::new(SEALED, BodyEnd::Chunked, &["abcdef"]).bytes
    };
    let endpoint = Responder::start(move |_| whole.clone());
    let carrier = Carrier::start();
    let recorded: Arc<Mutex<Vec<u8>>> = Arc::default();
    let recording = recorded.clone();
    let peer_addr = carrier.addr;
    let recorder = Responder::start(move |head| {
        let bytes = ask(peer_addr, head);
        *recording.lock().unwrap() = bytes.clone();
        bytes
    });
    let route = carried_route(retry_safety);
    let received = carrier.send(&route, recorder.addr, &[endpoint.addr]);
    assert_eq!(received.status, 200, "{received:?}");
    assert!(received.is_complete, "{received:?}");
    let bytes = recorded.lock().unwrap().clone();
    parse_answer(retry_safety, &bytes)
}

fn parse_answer(retry_safety: RetrySafety, bytes: &[u8]) -> WholeAnswer {
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    let (head, _) = text.split_once("\r\n\r\n").unwrap();
    let lines: Vec<&str> = head.split("\r\n").collect();
    let fields: String = lines[1..lines.len() - 1]
        .iter()
        .map(|line| format!("{line}\r\n"))
        .collect();
    let events = [event_text(1..=1), event_text(2..=2), event_text(3..=3)];
    let answer = if retry_safety.is_stream() {
        let pieces = [&*events[0], &*events[1], &*events[2]];
        WholeAnswer::new(&fields, BodyEnd::Chunked, &pieces)
    } else {
        WholeAnswer::new(&fields, BodyEnd::Length, &["abcdef"])
    };
    assert_eq!(String::from_utf8_lossy(&answer.bytes), text);
    answer
}

/// Returns the fields that a peer adds to the fields of an endpoint's answer.
fn carried_fields(answer: &WholeAnswer) -> String {
    let head = String::from_utf8_lossy(&answer.bytes[..answer.head_bytes]);
    let report = head
        .lines()
        .find(|line| line.starts_with("Rosemary-Carried: "));
    format!("{SEALED}{}\r\n", report.unwrap())
}

/// Cuts the connection from a peer to the home: the next request to a peer gets a whole answer.
fn cut_at_peer(retry_safety: RetrySafety) {
    let answer = record_carried_answer(retry_safety);
    let next = second_answer(retry_safety, carried_fields(&answer));
    let unreached = RefusingAddr::new();
    let first = Responder::start(|_| Vec::new());
    let second = Responder::start(|_| Vec::new());
    let answers = [(BodyEnd::Length, answer)];
    cut_everywhere(retry_safety, &answers, |answer, close| {
        // The home may ask the same peer once more.
        let cut = Mutex::new(Some(answer.to_vec()));
        let whole = next.clone();
        let answering = move |head: &str| {
            let cut = cut.lock().unwrap().take();
            cut.unwrap_or_else(|| whole(head))
        };
        first.set_with(answering, close);
        second.set_with(next.clone(), Close::Fin);
        let peers = [first.addr, second.addr];
        let home = home(carried_route(retry_safety), unreached.addr, &peers);
        let received = home.send(&[]);
        let sends = first.take_heads().len() + second.take_heads().len();
        (received, sends - 1)
    });
}

#[test]
fn an_idempotent_request_whose_answer_is_cut_at_the_peer_runs_elsewhere() {
    cut_at_peer(RetrySafety::Idempotent);
}

#[test]
fn a_non_idempotent_request_whose_answer_is_cut_at_the_peer_fails() {
    cut_at_peer(RetrySafety::NonIdempotent);
}

#[test]
fn a_resumable_stream_that_is_cut_at_the_peer_has_each_event_once() {
    cut_at_peer(RetrySafety::ResumableStream);
}

#[test]
fn a_stream_that_is_cut_at_the_peer_and_cannot_resume_is_incomplete() {
    cut_at_peer(RetrySafety::NonIdempotentStream);
}

/// Guards against an answer without a report that is taken for an endpoint's: the head of another's.
#[test]
fn an_answer_of_a_peer_without_a_report_is_none() {
    for retry_safety in RETRY_SAFETIES {
        let unreached = RefusingAddr::new();
        let answer = second_answer(retry_safety, SEALED.to_owned());
        let peer = Responder::start(answer);
        let home = home(carried_route(retry_safety), unreached.addr, &[peer.addr]);
        let received = home.send(&[]);
        assert_eq!(received.status, 502, "{retry_safety:?}");
        let verdict = received.verdict.as_deref();
        assert_eq!(verdict, Some("may-have-run"), "{retry_safety:?}");
    }
}
