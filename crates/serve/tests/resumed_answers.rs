//! What the next endpoint answers after a stream broke: nothing but the events that follow reaches the
//! caller.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::cuts::{
    BodyEnd, CLOSES, Close, Responder, SEALED, SEALED_EVENTS, WholeAnswer, event_text, pure_ids,
    resumed_stream,
};
use common::{Harness, Received, route};
use route::RetrySafety;

/// Events of a whole stream, and those that arrive before it breaks.
const ALL_EVENTS: u64 = 5;
const EVENTS_BEFORE_BREAK: u64 = 3;

/// An answer to a request to go on after the third event of five.
struct Case {
    name: &'static str,
    answer: Vec<u8>,
}

fn ok(name: &'static str, fields: &str, body: &str) -> Case {
    let answer = WholeAnswer::new(fields, BodyEnd::Chunked, &[body]).bytes;
    Case { name, answer }
}

fn raw(name: &'static str, head: &str, body: &str) -> Case {
    let length = body.len();
    let answer = format!("HTTP/1.1 {head}Content-Length: {length}\r\n\r\n{body}").into_bytes();
    Case { name, answer }
}

/// Answers that say nothing of what follows the third event.
fn unusable() -> Vec<Case> {
    let rest = event_text(4..=5);
    let whole = WholeAnswer::new(SEALED_EVENTS, BodyEnd::Chunked, &[&rest]).bytes;
    let whole = String::from_utf8(whole).unwrap();
    let failed = format!("500 Failed\r\n{SEALED}");
    let failed_events = format!("500 Failed\r\n{SEALED_EVENTS}");
    let unframed = format!("HTTP/1.1 {failed_events}\r\n{rest}").into_bytes();
    let foreign = SEALED_EVENTS.replace("x-id: 1", "x-id: 2");
    let unsealed = SEALED_EVENTS.replace("x-seal: s\r\n", "");
    let json = format!("{SEALED}Content-Type: application/json\r\n");
    let html = format!("{SEALED}Content-Type: text/html; charset=utf-8\r\n");
    vec![
        raw("an error", &failed, "oops"),
        raw("an error shaped as events", &failed_events, &rest),
        raw("an error that holds a whole answer", &failed, &whole),
        Case {
            name: "an error without framing",
            answer: unframed,
        },
        raw("a refusal", "503 Full\r\nx-not-started: 1\r\n", ""),
        raw(
            "a refusal shaped as events",
            "503 Full\r\nx-not-started: 1\r\n",
            &rest,
        ),
        raw("misdirected", "421 Other\r\n", &rest),
        ok("a foreign id", &foreign, &rest),
        ok(
            "no id of the request",
            &SEALED_EVENTS.replace("x-id: 1\r\n", ""),
            &rest,
        ),
        ok("no seal", &unsealed, &rest),
        ok("no stream of events but JSON", &json, &rest),
        ok("no stream of events but HTML", &html, &rest),
        ok("events from the first", SEALED_EVENTS, &event_text(1..=5)),
        ok(
            "events that start too early",
            SEALED_EVENTS,
            &event_text(3..=5),
        ),
        ok(
            "events that start too late",
            SEALED_EVENTS,
            &event_text(5..=5),
        ),
        ok(
            "events without ids",
            SEALED_EVENTS,
            "data: x\n\ndata: x\n\n",
        ),
        ok(
            "events with ids that are no numbers",
            SEALED_EVENTS,
            "id: four\ndata: x\n\nid: five\ndata: x\n\n",
        ),
        ok(
            "an event without id first",
            SEALED_EVENTS,
            &format!("data: x\n\n{rest}"),
        ),
        ok(
            "an error in place of the first event",
            SEALED_EVENTS,
            "event: error\ndata: HTTP/1.1 500 Failed\n\n",
        ),
        ok(
            "a head in place of the first event",
            SEALED_EVENTS,
            &format!("HTTP/1.1 500 Failed\r\n{SEALED}\r\noops\n\n"),
        ),
    ]
}

/// Successes without any event: after the last event they tell the truth, before it they do not.
fn empty() -> Vec<Case> {
    let chunked = format!("{SEALED_EVENTS}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    let answer = |status: &str, rest: &str| format!("HTTP/1.1 {status}\r\n{rest}").into_bytes();
    vec![
        Case {
            name: "no content",
            answer: answer("204 No Content", &format!("{SEALED_EVENTS}\r\n")),
        },
        raw("a length of 0", &format!("200 OK\r\n{SEALED_EVENTS}"), ""),
        Case {
            name: "no chunk",
            answer: answer("200 OK", &chunked),
        },
        Case {
            name: "no framing",
            answer: answer("200 OK", &format!("{SEALED_EVENTS}\r\n")),
        },
    ]
}

/// How the first stream breaks after its third event.
struct Break {
    close: Close,
    partial: &'static str,
}

fn breaks() -> Vec<Break> {
    let with = |partial: &'static str| CLOSES.map(|close| Break { close, partial });
    with("").into_iter().chain(with("id: 4\nda")).collect()
}

fn broken_stream(partial: &str) -> Vec<u8> {
    let events = event_text(1..=EVENTS_BEFORE_BREAK) + partial;
    let whole = WholeAnswer::new(SEALED_EVENTS, BodyEnd::Chunked, &[&events]).bytes;
    let last_chunk = b"0\r\n\r\n".len();
    whole[..whole.len() - last_chunk].to_vec()
}

/// Sends a request whose stream breaks, with endpoints that answer as the case says for this many times,
/// and then with the rest of a stream of `last` events.
fn send(case: &Case, broken: &Break, faulty_answers: usize, last: u64) -> Received {
    let first = Responder::start(|_| Vec::new());
    first.set(&broken_stream(broken.partial), broken.close);
    let given: Arc<AtomicUsize> = Arc::default();
    let answering = || {
        let given = given.clone();
        let answer = case.answer.clone();
        move |head: &str| {
            if given.fetch_add(1, Ordering::SeqCst) < faulty_answers {
                answer.clone()
            } else {
                resumed_stream(head, last)
            }
        }
    };
    let next = [Responder::start(answering()), Responder::start(answering())];
    let addrs = [first.addr, next[0].addr, next[1].addr];
    let route = route(RetrySafety::ResumableStream).max_attempts(3);
    Harness::new(route, &addrs, 10.0).send(&[])
}

/// Runs the cases for each break, and fails with a summary of those that are wrong.
fn run(cases: &[Case], check: impl Fn(&Case, &Break) -> Result<(), String>) {
    let mut faults = Vec::new();
    let mut count = 0;
    for case in cases {
        for broken in breaks() {
            count += 1;
            if let Err(fault) = check(case, &broken) {
                let Break { close, partial } = broken;
                faults.push(format!("{}, {close:?}, {partial:?}: {fault}", case.name));
            }
        }
    }
    let first: Vec<&String> = faults.iter().take(8).collect();
    assert!(
        faults.is_empty(),
        "{} of {count} cases, such as {first:#?}",
        faults.len()
    );
}

fn expect(received: &Received, last: u64, is_complete: bool) -> Result<(), String> {
    let is_right = received.status == 200
        && received.body == event_text(1..=last)
        && received.is_complete == is_complete;
    if is_right {
        return Ok(());
    }
    Err(format!(
        "expected {last} events, complete {is_complete}, received {received:?}"
    ))
}

#[test]
fn a_stream_goes_on_elsewhere_after_an_unusable_answer() {
    run(&unusable(), |case, broken| {
        let received = send(case, broken, 1, ALL_EVENTS);
        expect(&received, ALL_EVENTS, true)
    });
}

#[test]
fn a_stream_is_incomplete_after_unusable_answers_only() {
    run(&unusable(), |case, broken| {
        let received = send(case, broken, usize::MAX, ALL_EVENTS);
        expect(&received, EVENTS_BEFORE_BREAK, false)
    });
}

/// Guards against a stream that ends as complete when the run that goes on with it brings no event.
#[test]
fn a_stream_that_broke_before_its_last_event_is_not_completed_by_an_empty_answer() {
    run(&empty(), |case, broken| {
        let received = send(case, broken, 1, ALL_EVENTS);
        expect(&received, ALL_EVENTS, true)
    });
    run(&empty(), |case, broken| {
        let received = send(case, broken, usize::MAX, ALL_EVENTS);
        expect(&received, EVENTS_BEFORE_BREAK, false)
    });
}

/// An empty answer may be true here, so that the caller may be told either; but it gets each event once.
#[test]
fn a_stream_that_broke_after_its_last_event_has_each_event_once() {
    for case in empty() {
        for broken in breaks() {
            let received = send(&case, &broken, 1, EVENTS_BEFORE_BREAK);
            let name = case.name;
            assert_eq!(received.status, 200, "{name}");
            assert_eq!(pure_ids(&received.body), [1, 2, 3], "{name}");
        }
    }
}
