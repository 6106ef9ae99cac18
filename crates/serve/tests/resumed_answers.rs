//! What the next endpoint answers after a stream broke: nothing but the events that follow reaches the
//! caller.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::cuts::{
    BodyEnd, CLOSES, Close, Responder, SEALED_EVENTS, WholeAnswer, event_text, pure_ids,
    resumed_stream,
};
use common::next_answers::{NextAnswer, empty, unusable};
use common::{Harness, Received, route};
use route::RetrySafety;

/// Events of a whole stream, and those that arrive before it breaks.
const ALL_EVENTS: u64 = 5;
const EVENTS_BEFORE_BREAK: u64 = 3;

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
fn send(case: &NextAnswer, broken: &Break, faulty_answers: usize, last: u64) -> Received {
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
fn run(cases: &[NextAnswer], check: impl Fn(&NextAnswer, &Break) -> Result<(), String>) {
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
