//! What the next endpoint answers after a stream broke: nothing but the events that follow reaches the
//! caller.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::cuts::{
    BodyEnd, CLOSES, Close, Responder, SEALED_EVENTS, WholeAnswer, event_text, pure_ids,
    resumed_stream,
};
use common::next_answers::{NextAnswer, cut_short, empty, unusable, usable, wrong_responses};
use common::{Harness, Received, route};
use route::RetrySafety;

/// Events of a whole stream, and those that arrive before it breaks.
const ALL_EVENTS: u64 = 5;
const EVENTS_BEFORE_BREAK: u64 = 3;

/// How the first stream breaks.
#[derive(Debug)]
struct Break {
    close: Close,
    /// Events before the break, and whether a part of the next one arrives.
    events: u64,
    is_midway: bool,
}

fn breaks_after(events: u64) -> Vec<Break> {
    let mut breaks = Vec::new();
    for is_midway in [false, true] {
        breaks.extend(CLOSES.map(|close| Break {
            close,
            events,
            is_midway,
        }));
    }
    breaks
}

fn broken_stream(broken: &Break) -> Vec<u8> {
    let mut events = event_text(1..=broken.events);
    if broken.is_midway {
        events += &format!("id: {}\nda", broken.events + 1);
    }
    let chunks: &[&str] = if events.is_empty() { &[] } else { &[&events] };
    let whole = WholeAnswer::new(SEALED_EVENTS, BodyEnd::Chunked, chunks).bytes;
    let last_chunk = b"0\r\n\r\n".len();
    whole[..whole.len() - last_chunk].to_vec()
}

/// Sends a request whose stream breaks, with endpoints that answer as the case says for this many times,
/// and then with the rest of a stream of `last` events.
fn send(case: &NextAnswer, broken: &Break, faulty_answers: usize, last: u64) -> Received {
    send_after(
        &broken_stream(broken),
        broken.close,
        case,
        faulty_answers,
        last,
    )
}

/// Sends a request whose first answer is this one.
fn send_after(
    answer: &[u8],
    close: Close,
    case: &NextAnswer,
    faulty_answers: usize,
    last: u64,
) -> Received {
    let first = Responder::start(|_| Vec::new());
    first.set(answer, close);
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

/// Runs the cases for each break after this many events, and fails with a summary of those that are wrong.
fn run(
    cases: &[NextAnswer],
    events: u64,
    check: impl Fn(&NextAnswer, &Break) -> Result<(), String>,
) {
    let mut faults = Vec::new();
    let mut count = 0;
    for case in cases {
        for broken in breaks_after(events) {
            count += 1;
            if let Err(fault) = check(case, &broken) {
                faults.push(format!("{}, {broken:?}: {fault}", case.name));
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
fn a_stream_goes_on_with_the_first_usable_answer() {
    run(&usable(), EVENTS_BEFORE_BREAK, |case, broken| {
        // A third run would bring no event.
        let received = send(case, broken, 1, EVENTS_BEFORE_BREAK);
        expect(&received, ALL_EVENTS, true)
    });
}

#[test]
fn a_stream_goes_on_elsewhere_after_an_unusable_answer() {
    run(&unusable(), EVENTS_BEFORE_BREAK, |case, broken| {
        let received = send(case, broken, 1, ALL_EVENTS);
        expect(&received, ALL_EVENTS, true)
    });
}

#[test]
fn a_stream_is_incomplete_after_unusable_answers_only() {
    run(&unusable(), EVENTS_BEFORE_BREAK, |case, broken| {
        let received = send(case, broken, usize::MAX, ALL_EVENTS);
        expect(&received, EVENTS_BEFORE_BREAK, false)
    });
}

/// Guards against a stream that ends as complete when the run that goes on with it brings no event.
#[test]
fn a_stream_that_broke_before_its_last_event_is_not_completed_by_an_empty_answer() {
    run(&empty(), EVENTS_BEFORE_BREAK, |case, broken| {
        let received = send(case, broken, 1, ALL_EVENTS);
        expect(&received, ALL_EVENTS, true)
    });
    run(&empty(), EVENTS_BEFORE_BREAK, |case, broken| {
        let received = send(case, broken, usize::MAX, ALL_EVENTS);
        expect(&received, EVENTS_BEFORE_BREAK, false)
    });
}

/// A request under which two connections broke may be the cause, so that no third endpoint is asked.
#[test]
fn a_stream_that_broke_twice_goes_on_or_is_incomplete() {
    let cases = [cut_short()];
    run(&cases, EVENTS_BEFORE_BREAK, |case, broken| {
        let received = send(case, broken, 1, ALL_EVENTS);
        let went_on = expect(&received, ALL_EVENTS, true);
        went_on.or_else(|_| expect(&received, EVENTS_BEFORE_BREAK, false))
    });
    run(&cases, EVENTS_BEFORE_BREAK, |case, broken| {
        let received = send(case, broken, usize::MAX, ALL_EVENTS);
        expect(&received, EVENTS_BEFORE_BREAK, false)
    });
    run(&cases, 0, |case, broken| {
        let received = send(case, broken, usize::MAX, ALL_EVENTS);
        expect(&received, 0, false)
    });
}

/// Guards against the text of another answer in a stream that broke before any event.
#[test]
fn a_stream_that_broke_before_its_first_event_begins_elsewhere() {
    for cases in [wrong_responses(), empty()] {
        run(&cases, 0, |case, broken| {
            let received = send(case, broken, 1, ALL_EVENTS);
            expect(&received, ALL_EVENTS, true)
        });
        run(&cases, 0, |case, broken| {
            let received = send(case, broken, usize::MAX, ALL_EVENTS);
            expect(&received, 0, false)
        });
    }
}

/// An empty answer may be true here, so that the caller may be told either; but it gets each event once.
#[test]
fn a_stream_that_broke_after_its_last_event_has_each_event_once() {
    for case in empty().into_iter().chain([cut_short()]) {
        for broken in breaks_after(EVENTS_BEFORE_BREAK) {
            let received = send(&case, &broken, 1, EVENTS_BEFORE_BREAK);
            let name = case.name;
            assert_eq!(received.status, 200, "{name}");
            assert_eq!(pure_ids(&received.body), [1, 2, 3], "{name}");
        }
    }
}

/// Returns a stream that ends with its connection after its third event.
fn stream_without_framing() -> Vec<u8> {
    let events = event_text(1..=EVENTS_BEFORE_BREAK);
    WholeAnswer::new(SEALED_EVENTS, BodyEnd::Connection, &[&events]).bytes
}

/// Nothing tells then whether there is more, so that the caller may be told either.
#[test]
fn a_stream_whose_end_is_doubtful_gets_nothing_of_an_unusable_answer() {
    for case in unusable().iter().chain(&empty()).chain(&[cut_short()]) {
        let first = stream_without_framing();
        let received = send_after(&first, Close::Fin, case, usize::MAX, ALL_EVENTS);
        let name = case.name;
        assert_eq!(received.status, 200, "{name}");
        assert_eq!(pure_ids(&received.body), [1, 2, 3], "{name}");
    }
}
