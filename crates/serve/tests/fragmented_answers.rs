//! Answers that arrive in two parts, split at any byte: they are whole whatever the split.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::cuts::{BODY_ENDS, CLOSES, Responder, SEALED_EVENTS, WholeAnswer, resumed_stream};
use common::outcomes::{Expected, answers, assert_none, check};
use common::{Harness, Health, Received, answer_health, ids, listen, read_head, route};
use route::RetrySafety;

/// Time between the parts, in which the first one is read.
const PAUSE: Duration = Duration::from_millis(1);

const RETRY_SAFETIES: [RetrySafety; 4] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::ResumableStream,
    RetrySafety::NonIdempotentStream,
];

/// The parts of an answer.
type Parts = [Vec<u8>; 2];

/// An endpoint that answers in two parts.
struct SplittingEndpoint {
    addr: SocketAddr,
    parts: Arc<Mutex<Parts>>,
}

impl SplittingEndpoint {
    fn start() -> SplittingEndpoint {
        let parts: Arc<Mutex<Parts>> = Arc::default();
        let shared = parts.clone();
        let addr = listen(move |stream| answer(stream, &shared));
        SplittingEndpoint { addr, parts }
    }

    fn send(&self, retry_safety: RetrySafety, bytes: &[u8], split: usize) -> Received {
        let (first, second) = bytes.split_at(split);
        *self.parts.lock().unwrap() = [first.to_vec(), second.to_vec()];
        Harness::new(route(retry_safety), &[self.addr], 10.0).send(&[])
    }
}

fn answer(mut stream: TcpStream, parts: &Mutex<Parts>) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    if answer_health(&mut stream, &head, Health::After(0), None) {
        return;
    }
    stream.set_nodelay(true).unwrap();
    let [first, second] = parts.lock().unwrap().clone();
    if stream.write_all(&first).is_ok() {
        std::thread::sleep(PAUSE);
        // The other side may have what it needs and close.
        let _ = stream.write_all(&second);
    }
}

#[test]
fn an_answer_in_two_parts_is_forwarded_whole() {
    let endpoint = SplittingEndpoint::start();
    let mut faults = Vec::new();
    let mut cases = 0;
    for retry_safety in RETRY_SAFETIES {
        for (body_end, answer) in answers(retry_safety) {
            for split in 1..answer.bytes.len() {
                let received = endpoint.send(retry_safety, &answer.bytes, split);
                cases += 1;
                if let Err(fault) = check(Expected::Forwarded, &answer, split, &received, 0) {
                    faults.push(format!(
                        "{retry_safety:?}, {body_end:?}, split at {split}: {fault}"
                    ));
                }
            }
        }
    }
    assert_none(&faults, cases);
}

/// Returns a stream of three events whose lines end with CRLF.
fn crlf_events() -> [String; 3] {
    [1, 2, 3].map(|id| format!("id: {id}\r\ndata: x\r\n\r\n"))
}

#[test]
fn events_with_crlf_in_two_parts_are_forwarded_whole() {
    let endpoint = SplittingEndpoint::start();
    let events = crlf_events();
    let pieces = events.each_ref().map(String::as_str);
    for body_end in BODY_ENDS {
        let answer = WholeAnswer::new(SEALED_EVENTS, body_end, &pieces);
        for split in 1..answer.bytes.len() {
            let received = endpoint.send(RetrySafety::ResumableStream, &answer.bytes, split);
            assert_eq!(received.body, events.concat(), "{body_end:?}, {split}");
            assert!(received.is_complete, "{body_end:?}, {split}");
        }
    }
}

/// Guards against an event that counts as received before the second half of its last CRLF.
#[test]
fn events_with_crlf_that_are_cut_are_received_once() {
    let events = crlf_events();
    let pieces = events.each_ref().map(String::as_str);
    let first = Responder::start(|_| Vec::new());
    let second = Responder::start(|head| resumed_stream(head, 4));
    for body_end in &BODY_ENDS[..2] {
        let answer = WholeAnswer::new(SEALED_EVENTS, *body_end, &pieces);
        for cut in 0..answer.bytes.len() {
            for close in CLOSES {
                let case = format!("{body_end:?}, {close:?} after {cut} bytes");
                first.set(&answer.bytes[..cut], close);
                let addrs = [first.addr, second.addr];
                let route = route(RetrySafety::ResumableStream);
                let received = Harness::new(route, &addrs, 10.0).send(&[]);
                assert!(received.is_complete, "{case}: {received:?}");
                let found = ids(&received.body.replace('\r', ""));
                assert_eq!(found, [1, 2, 3, 4], "{case}: {received:?}");
            }
        }
    }
}
