//! A stream whose connection to a peer broke, and with which a peer goes on: nothing but the events that
//! follow reaches the caller.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};

use common::carrier::{Carrier, ask};
use common::cuts::{BodyEnd, Responder, SEALED_EVENTS, WholeAnswer, event_text, resumed_stream};
use common::next_answers::{NextAnswer, cut_short, empty, unusable};
use common::route;
use route::RetrySafety;

/// What a peer reports of a request that its first endpoint runs.
const REPORT: &str =
    "Rosemary-Carried: {\"sends\":1,\"runs\":0,\"size\":null,\"failure\":null}\r\n";

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Returns a stream of a peer that breaks after its third event.
fn broken_stream() -> Vec<u8> {
    let fields = format!("{SEALED_EVENTS}{REPORT}");
    let mut bytes = WholeAnswer::new(&fields, BodyEnd::Chunked, &[&event_text(1..=3)]).bytes;
    bytes.truncate(bytes.len() - LAST_CHUNK.len());
    bytes
}

/// Runs a stream that breaks after its third event, with a peer whose endpoints then answer this, and
/// returns what is wrong.
fn run(carrier: &Carrier, next: &[u8], last: u64, is_complete: bool) -> Result<(), String> {
    let next = next.to_vec();
    let endpoint = Responder::start(move |_| next.clone());
    let has_broken = AtomicBool::new(false);
    let peer_addr = carrier.addr;
    let peer = Responder::start(move |head| {
        if has_broken.swap(true, Ordering::SeqCst) {
            ask(peer_addr, head)
        } else {
            broken_stream()
        }
    });
    let route = route(RetrySafety::ResumableStream).max_attempts(3);
    let received = carrier.send(&route, peer.addr, &[endpoint.addr]);
    let is_asked = !endpoint.take_heads().is_empty();
    let is_right = received.body == event_text(1..=last) && received.is_complete == is_complete;
    if is_right && is_asked {
        return Ok(());
    }
    Err(format!("endpoint asked: {is_asked}, received {received:?}"))
}

fn faults(carrier: &Carrier, cases: &[NextAnswer]) -> Vec<String> {
    let mut faults = Vec::new();
    for case in cases {
        if let Err(fault) = run(carrier, &case.answer, 3, false) {
            faults.push(format!("{}: {fault}", case.name));
        }
    }
    faults
}

#[test]
fn a_peer_goes_on_with_a_stream_after_its_last_event() {
    let next = resumed_stream("x-after: 3", 5);
    assert_eq!(run(&Carrier::start(), &next, 5, true), Ok(()));
}

/// Guards against the text of another answer in the midst of a stream that a peer goes on with.
#[test]
fn a_stream_is_incomplete_if_a_peer_gets_no_usable_answer() {
    let faults = faults(&Carrier::start(), &unusable());
    assert!(faults.is_empty(), "{} cases: {faults:#?}", faults.len());
}

/// Guards against a stream that ends as complete when the peer that goes on with it gets no event.
#[test]
fn a_stream_is_incomplete_if_a_peer_gets_an_empty_answer() {
    let faults = faults(&Carrier::start(), &[empty(), vec![cut_short()]].concat());
    assert!(faults.is_empty(), "{} cases: {faults:#?}", faults.len());
}
