//! Answers that end at any byte: what ends early never looks complete and runs no more than it may.

mod common;

use common::cuts::{
    BODY_ENDS, BodyEnd, CLOSES, Close, Responder, SEALED, SEALED_EVENTS, WholeAnswer, event_text,
    pure_ids, resumed_stream,
};
use common::{Harness, Received, route};
use route::RetrySafety;

const RETRY_SAFETIES: [RetrySafety; 4] = [
    RetrySafety::Idempotent,
    RetrySafety::NonIdempotent,
    RetrySafety::ResumableStream,
    RetrySafety::NonIdempotentStream,
];

/// How far an answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Head,
    Body,
    Whole,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The first endpoint's answer.
    Forwarded,
    /// The second endpoint's answer, from its begin.
    Elsewhere,
    /// The events of the first endpoint, and the others of the second.
    Resumed,
    /// The events of the first endpoint, as an incomplete body.
    Incomplete,
    /// An error with this verdict.
    Failed(&'static str),
}

const TABLE: &[(RetrySafety, Stage, Expected)] = &[
    (RetrySafety::Idempotent, Stage::Head, Expected::Elsewhere),
    (RetrySafety::Idempotent, Stage::Body, Expected::Elsewhere),
    (RetrySafety::Idempotent, Stage::Whole, Expected::Forwarded),
    (
        RetrySafety::NonIdempotent,
        Stage::Head,
        Expected::Failed("may-have-run"),
    ),
    (
        RetrySafety::NonIdempotent,
        Stage::Body,
        Expected::Failed("ran"),
    ),
    (
        RetrySafety::NonIdempotent,
        Stage::Whole,
        Expected::Forwarded,
    ),
    (
        RetrySafety::ResumableStream,
        Stage::Head,
        Expected::Elsewhere,
    ),
    (RetrySafety::ResumableStream, Stage::Body, Expected::Resumed),
    (
        RetrySafety::ResumableStream,
        Stage::Whole,
        Expected::Forwarded,
    ),
    (
        RetrySafety::NonIdempotentStream,
        Stage::Head,
        Expected::Failed("may-have-run"),
    ),
    (
        RetrySafety::NonIdempotentStream,
        Stage::Body,
        Expected::Incomplete,
    ),
    (
        RetrySafety::NonIdempotentStream,
        Stage::Whole,
        Expected::Forwarded,
    ),
];

fn expected(retry_safety: RetrySafety, stage: Stage) -> Expected {
    let row = TABLE
        .iter()
        .find(|row| (row.0, row.1) == (retry_safety, stage));
    row.unwrap().2
}

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

    /// Sends a request to an instance that knows nothing of these endpoints yet.
    fn send(&self, retry_safety: RetrySafety, answer: &[u8], close: Close) -> Received {
        self.first.set(answer, close);
        drop(self.second.take_heads());
        let addrs = [self.first.addr, self.second.addr];
        Harness::new(route(retry_safety), &addrs, 10.0).send(&[])
    }
}

/// Returns answers of a route, with the names of their forms.
fn answers(retry_safety: RetrySafety) -> Vec<(BodyEnd, WholeAnswer)> {
    let events = [event_text(1..=1), event_text(2..=2), event_text(3..=3)];
    let (start, end) = events[1].split_at(7);
    let last = format!("{end}{}", events[2]);
    let (fields, pieces) = if retry_safety.is_stream() {
        (SEALED_EVENTS, [&*events[0], start, &*last])
    } else {
        (SEALED, ["ab", "c", "def"])
    };
    let encode = |body_end| (body_end, WholeAnswer::new(fields, body_end, &pieces));
    BODY_ENDS.map(encode).into()
}

/// Checks what a caller received, and returns what is wrong.
fn check(
    expected: Expected,
    answer: &WholeAnswer,
    cut: usize,
    received: &Received,
    endpoints: &Endpoints,
) -> Result<(), String> {
    let second = endpoints.second.take_heads();
    let is_stream = answer.events_before(usize::MAX).len() == answer.body_before(usize::MAX).len();
    let events = answer.events_before(cut);
    let all = answer.body_before(usize::MAX);
    let (status, body, is_complete, sends) = match expected {
        Expected::Forwarded => (200, all, Some(true), 0),
        Expected::Elsewhere if is_stream => (200, all, Some(true), 1),
        Expected::Elsewhere => (200, "second", Some(true), 1),
        // Nothing tells whether there is more when the next run is empty.
        Expected::Resumed if events == all => (200, all, None, 1),
        Expected::Resumed => (200, all, Some(true), 1),
        Expected::Incomplete => (200, events, Some(false), 0),
        Expected::Failed(_) => (502, "", Some(true), 0),
    };
    let verdict = match expected {
        Expected::Failed(verdict) => Some(verdict),
        _ => None,
    };
    let is_right = received.status == status
        && received.verdict.as_deref() == verdict
        && received.body == body
        && is_complete.is_none_or(|expected| received.is_complete == expected)
        && second.len() == sends;
    if is_right {
        return Ok(());
    }
    let sends = second.len();
    Err(format!(
        "expected {expected:?}, received {received:?}, {sends} sends to the second"
    ))
}

/// Fails with a summary if there are any faults.
fn assert_none(faults: &[String], cases: usize) {
    let first: Vec<&String> = faults.iter().take(8).collect();
    assert!(
        faults.is_empty(),
        "{} of {cases} cases, such as {first:#?}",
        faults.len()
    );
}

fn cut_everywhere(retry_safety: RetrySafety) {
    let endpoints = Endpoints::start(retry_safety);
    let mut faults = Vec::new();
    let mut cases = 0;
    for (body_end, answer) in answers(retry_safety) {
        for cut in 0..=answer.bytes.len() {
            for close in CLOSES {
                let is_past_head = cut >= answer.head_bytes;
                let is_whole = cut == answer.bytes.len() && body_end != BodyEnd::Connection;
                if is_past_head && body_end == BodyEnd::Connection && close == Close::Fin {
                    // The end of such a body is that of its connection; see the tests below.
                    continue;
                }
                let stage = match (is_past_head, is_whole) {
                    (false, _) => Stage::Head,
                    (true, false) => Stage::Body,
                    (true, true) => Stage::Whole,
                };
                let received = endpoints.send(retry_safety, &answer.bytes[..cut], close);
                let expected = expected(retry_safety, stage);
                cases += 1;
                if let Err(fault) = check(expected, &answer, cut, &received, &endpoints) {
                    faults.push(format!(
                        "{body_end:?}, {close:?} after {cut} bytes: {fault}"
                    ));
                }
            }
        }
    }
    assert_none(&faults, cases);
}

#[test]
fn an_idempotent_request_whose_answer_is_cut_runs_elsewhere() {
    cut_everywhere(RetrySafety::Idempotent);
}

#[test]
fn a_non_idempotent_request_whose_answer_is_cut_fails_and_runs_nowhere_else() {
    cut_everywhere(RetrySafety::NonIdempotent);
}

#[test]
fn a_resumable_stream_that_is_cut_has_each_event_once() {
    cut_everywhere(RetrySafety::ResumableStream);
}

#[test]
fn a_stream_that_is_cut_and_cannot_resume_is_incomplete() {
    cut_everywhere(RetrySafety::NonIdempotentStream);
}

/// Guards against a stream that ends as complete before its last event when its endpoint ends.
#[test]
fn a_resumable_stream_that_ends_with_its_connection_between_events_is_not_taken_for_whole() {
    let retry_safety = RetrySafety::ResumableStream;
    let endpoints = Endpoints::start(retry_safety);
    let (_, answer) = answers(retry_safety).pop().unwrap();
    let mut faults = Vec::new();
    let cuts = answer.head_bytes..answer.bytes.len();
    for cut in cuts.clone() {
        let received = endpoints.send(retry_safety, &answer.bytes[..cut], Close::Fin);
        if let Err(fault) = check(Expected::Resumed, &answer, cut, &received, &endpoints) {
            faults.push(format!("after {cut} bytes: {fault}"));
        }
    }
    assert_none(&faults, cuts.len());
}

/// Where only the end of the connection ends a body, an early end cannot be told from that of the whole.
#[test]
fn a_body_that_ends_with_its_connection_is_forwarded_as_received() {
    for retry_safety in RETRY_SAFETIES {
        let endpoints = Endpoints::start(retry_safety);
        let (_, answer) = answers(retry_safety).pop().unwrap();
        for cut in answer.head_bytes + 1..=answer.bytes.len() {
            let case = format!("{retry_safety:?}, after {cut} bytes");
            let received = endpoints.send(retry_safety, &answer.bytes[..cut], Close::Fin);
            assert_eq!(received.status, 200, "{case}");
            let sends = endpoints.second.take_heads().len();
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
                let received = endpoints.send(retry_safety, head.as_bytes(), close);
                let expected = expected(retry_safety, Stage::Body);
                cases += 1;
                if let Err(fault) = check(expected, &whole, 0, &received, &endpoints) {
                    faults.push(format!("{retry_safety:?}, {name}, {close:?}: {fault}"));
                }
            }
        }
    }
    assert_none(&faults, cases);
}
