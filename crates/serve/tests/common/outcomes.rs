//! What callers may get of answers that are cut.

use route::RetrySafety;

use super::Received;
use super::cuts::{
    BODY_ENDS, BodyEnd, CLOSES, Close, SEALED, SEALED_EVENTS, WholeAnswer, event_text,
};

/// How far an answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Head,
    Body,
    Whole,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
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

pub fn expected(retry_safety: RetrySafety, stage: Stage) -> Expected {
    let row = TABLE
        .iter()
        .find(|row| (row.0, row.1) == (retry_safety, stage));
    row.unwrap().2
}

/// Returns answers of a route, with the names of their forms.
pub fn answers(retry_safety: RetrySafety) -> Vec<(BodyEnd, WholeAnswer)> {
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
pub fn check(
    expected: Expected,
    answer: &WholeAnswer,
    cut: usize,
    received: &Received,
    sends_elsewhere: usize,
) -> Result<(), String> {
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
        && sends_elsewhere == sends;
    if is_right {
        return Ok(());
    }
    Err(format!(
        "expected {expected:?}, received {received:?}, {sends_elsewhere} sends elsewhere"
    ))
}

/// Fails with a summary if there are any faults.
pub fn assert_none(faults: &[String], cases: usize) {
    let first: Vec<&String> = faults.iter().take(8).collect();
    assert!(
        faults.is_empty(),
        "{} of {cases} cases, such as {first:#?}",
        faults.len()
    );
}

/// Cuts answers at every byte and checks what the caller gets by the table. `send` sends a request whose
/// answer begins with these bytes, and returns it with the number of sends elsewhere.
pub fn cut_everywhere(
    retry_safety: RetrySafety,
    answers: &[(BodyEnd, WholeAnswer)],
    mut send: impl FnMut(&[u8], Close) -> (Received, usize),
) {
    let mut faults = Vec::new();
    let mut cases = 0;
    for (body_end, answer) in answers {
        for cut in 0..=answer.bytes.len() {
            for close in CLOSES {
                let is_past_head = cut >= answer.head_bytes;
                let ends_with_connection = *body_end == BodyEnd::Connection;
                if is_past_head && ends_with_connection && close == Close::Fin {
                    // The end of such a body is that of its connection, which has tests of its own.
                    continue;
                }
                let is_whole = cut == answer.bytes.len() && !ends_with_connection;
                let stage = match (is_past_head, is_whole) {
                    (false, _) => Stage::Head,
                    (true, false) => Stage::Body,
                    (true, true) => Stage::Whole,
                };
                let (received, sends) = send(&answer.bytes[..cut], close);
                let expected = expected(retry_safety, stage);
                cases += 1;
                if let Err(fault) = check(expected, answer, cut, &received, sends) {
                    faults.push(format!(
                        "{body_end:?}, {close:?} after {cut} bytes: {fault}"
                    ));
                }
            }
        }
    }
    assert_none(&faults, cases);
}
