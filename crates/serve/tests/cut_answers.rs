//! Answers that end at any byte: what ends early never looks complete and runs no more than it may.

mod common;

use std::net::SocketAddr;

use common::cuts::{
    BodyEnd, CLOSES, Close, Responder, SEALED, WholeAnswer, pure_ids, resumed_stream,
};
use common::outcomes::{Stage, answers, assert_none, check, cut_everywhere, expected};
use common::{Harness, Received, ScriptedEndpoint, Step, route};
use route::RetrySafety;

const RETRY_SAFETIES: [RetrySafety; 4] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::ResumableStream,
    RetrySafety::NonIdempotentStream,
];

/// Two endpoints, of which the first cuts its answers and the second completes its own.
struct Endpoints {
    first: Responder,
    second: Responder,
}

impl Endpoints {
    fn start(retry_safety: RetrySafety) -> Endpoints {
        let second = if retry_safety.is_stream() {
            Responder::start(|head| resumed_stream(head, 3))
        } else {
            let whole = WholeAnswer::new(SEALED, BodyEnd::Length, &["second"]);
            Responder::start(move |_| whole.bytes.clone())
        };
        Endpoints {
            first: Responder::start(|_| Vec::new()),
            second,
        }
    }

    /// Sends a request to an instance that knows nothing of these endpoints yet, and returns the number of
    /// sends to the second.
    fn send(&self, retry_safety: RetrySafety, answer: &[u8], close: Close) -> (Received, usize) {
        self.first.set(answer, close);
        self.send_first_to(retry_safety, self.first.addr)
    }

    /// Sends a request to the endpoint at an address and, if need be, to the second.
    fn send_first_to(&self, retry_safety: RetrySafety, first: SocketAddr) -> (Received, usize) {
        drop(self.second.take_heads());
        let addrs = [first, self.second.addr];
        let received = Harness::new(route(retry_safety), &addrs, 10.0).send(&[]);
        (received, self.second.take_heads().len())
    }
}

fn cut_at_endpoint(retry_safety: RetrySafety) {
    let endpoints = Endpoints::start(retry_safety);
    cut_everywhere(retry_safety, &answers(retry_safety), |answer, close| {
        endpoints.send(retry_safety, answer, close)
    });
}

#[test]
fn an_idempotent_request_whose_answer_is_cut_runs_elsewhere() {
    cut_at_endpoint(RetrySafety::Idempotent);
}

#[test]
fn a_non_idempotent_request_whose_answer_is_cut_fails_and_runs_nowhere_else() {
    cut_at_endpoint(RetrySafety::NonIdempotent);
}

#[test]
fn a_resumable_stream_that_is_cut_has_each_event_once() {
    cut_at_endpoint(RetrySafety::ResumableStream);
}

#[test]
fn a_stream_that_is_cut_and_cannot_resume_is_incomplete() {
    cut_at_endpoint(RetrySafety::NonIdempotentStream);
}

/// Guards against a part of an answer that looks whole as the kernel closed its endpoint's connections.
#[test]
fn an_answer_whose_endpoint_ends_at_any_byte_is_not_taken_for_whole() {
    let mut faults = Vec::new();
    let mut cases = 0;
    for retry_safety in RETRY_SAFETIES {
        let endpoints = Endpoints::start(retry_safety);
        for (body_end, answer) in answers(retry_safety) {
            for cut in 0..answer.bytes.len() {
                let stage = if cut < answer.head_bytes {
                    Stage::Head
                } else {
                    Stage::Body
                };
                let text = String::from_utf8_lossy(&answer.bytes[..cut]).into_owned();
                let ending = ScriptedEndpoint::start(vec![vec![Step::Write(text), Step::Exit]]);
                let (received, sends) = endpoints.send_first_to(retry_safety, ending.addr);
                let expected = expected(retry_safety, stage);
                cases += 1;
                if let Err(fault) = check(expected, &answer, cut, &received, sends) {
                    faults.push(format!(
                        "{retry_safety:?}, {body_end:?} after {cut} bytes: {fault}"
                    ));
                }
            }
        }
    }
    assert_none(&faults, cases);
}

/// Where only the end of the connection ends a body, an early end cannot be told from that of the whole.
#[test]
fn a_body_that_ends_with_its_connection_is_forwarded_as_received() {
    for retry_safety in RETRY_SAFETIES {
        let endpoints = Endpoints::start(retry_safety);
        let (_, answer) = answers(retry_safety).pop().unwrap();
        for cut in answer.head_bytes + 1..=answer.bytes.len() {
            let case = format!("{retry_safety:?}, after {cut} bytes");
            let (received, sends) = endpoints.send(retry_safety, &answer.bytes[..cut], Close::Fin);
            assert_eq!(received.status, 200, "{case}");
            if !retry_safety.is_stream() {
                assert_eq!(received.body, answer.body_before(cut), "{case}");
                assert_eq!(sends, 0, "{case}");
                continue;
            }
            let found = pure_ids(&received.body);
            let in_order: Vec<u64> = (1..=found.len() as u64).collect();
            assert_eq!(found, in_order, "{case}");
            assert!(
                received.body.starts_with(answer.events_before(cut)),
                "{case}"
            );
            if retry_safety == RetrySafety::NonIdempotentStream {
                assert_eq!(sends, 0, "{case}");
                let is_between = answer.events_before(cut) == answer.body_before(cut);
                assert!(is_between || !received.is_complete, "{case}");
            }
        }
    }
}

/// Guards against an empty success after a head of which the fields that frame the body were lost.
#[test]
fn a_head_without_framing_that_ends_with_its_connection_is_no_complete_answer() {
    let heads = [
        ("no framing field", format!("{SEALED}\r\n")),
        (
            "a part of a length",
            format!("{SEALED}Content-Le: 6\r\n\r\n"),
        ),
        (
            "a part of a coding",
            format!("{SEALED}Transfer-Enc: chunked\r\n\r\n"),
        ),
    ];
    let mut faults = Vec::new();
    let mut cases = 0;
    for retry_safety in RETRY_SAFETIES {
        let endpoints = Endpoints::start(retry_safety);
        let (_, whole) = answers(retry_safety).pop().unwrap();
        for (name, fields) in &heads {
            for close in CLOSES {
                let head = format!("HTTP/1.1 200 OK\r\n{fields}");
                let (received, sends) = endpoints.send(retry_safety, head.as_bytes(), close);
                let expected = expected(retry_safety, Stage::Body);
                cases += 1;
                if let Err(fault) = check(expected, &whole, 0, &received, sends) {
                    faults.push(format!("{retry_safety:?}, {name}, {close:?}: {fault}"));
                }
            }
        }
    }
    assert_none(&faults, cases);
}

/// A refusal or an error answer, and what its cuts are worth for a request that may run only once.
struct ErrorCase {
    name: &'static str,
    answer: &'static str,
    /// Status, verdict and sends to the second endpoint, once the head has arrived and once all has.
    after_head: (u16, Option<&'static str>, usize),
    whole: (u16, Option<&'static str>, usize),
}

const ERROR_CASES: &[ErrorCase] = &[
    ErrorCase {
        name: "a refusal",
        answer: "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nContent-Length: 4\r\n\r\nfull",
        after_head: (200, None, 1),
        whole: (200, None, 1),
    },
    ErrorCase {
        name: "misdirected",
        answer: "HTTP/1.1 421 Other\r\nContent-Length: 5\r\n\r\nother",
        after_head: (200, None, 1),
        whole: (200, None, 1),
    },
    ErrorCase {
        name: "an error",
        answer: "HTTP/1.1 500 Failed\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 4\r\n\r\noops",
        after_head: (502, Some("ran"), 0),
        whole: (500, None, 0),
    },
    ErrorCase {
        name: "an error in chunks",
        answer: "HTTP/1.1 500 Failed\r\nx-id: 1\r\nx-seal: s\r\n\
                 Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
        after_head: (502, Some("ran"), 0),
        whole: (500, None, 0),
    },
    ErrorCase {
        name: "a 503 of a request that ran",
        answer: "HTTP/1.1 503 No\r\nx-id: 1\r\nContent-Length: 4\r\n\r\noops",
        after_head: (502, Some("ran"), 0),
        whole: (502, Some("ran"), 0),
    },
];

/// Guards against a part of a refusal that is taken for one, and a part of an error that is forwarded.
#[test]
fn a_refusal_or_an_error_that_is_cut_is_worth_what_its_whole_head_says() {
    let mut faults = Vec::new();
    let mut cases = 0;
    for retry_safety in [RetrySafety::NonIdempotent, RetrySafety::NonIdempotentStream] {
        let endpoints = Endpoints::start(retry_safety);
        for case in ERROR_CASES {
            let head_bytes = case.answer.find("\r\n\r\n").unwrap() + 4;
            for cut in 0..=case.answer.len() {
                for close in CLOSES {
                    let expected = match cut {
                        cut if cut < head_bytes => (502, Some("may-have-run"), 0),
                        cut if cut < case.answer.len() => case.after_head,
                        _ => case.whole,
                    };
                    let bytes = &case.answer.as_bytes()[..cut];
                    let (received, sends) = endpoints.send(retry_safety, bytes, close);
                    cases += 1;
                    let found = (received.status, received.verdict.as_deref(), sends);
                    let body_is_whole = received.status != 500 || received.body == "oops";
                    if found != expected || !received.is_complete || !body_is_whole {
                        let name = case.name;
                        let case = format!("{retry_safety:?}, {name}, {close:?} after {cut} bytes");
                        faults.push(format!("{case}: expected {expected:?}, {found:?}"));
                    }
                }
            }
        }
    }
    assert_none(&faults, cases);
}
