//! Retries: which failures are retried, and what the caller is told.

mod common;

use std::future::ready;
use std::pin::Pin;
use std::sync::atomic::Ordering;

use common::{Harness, Received, ScriptedEndpoint, Step, answer, error_response, refusal, route};
use futures_lite::future::zip;
use route::RetrySafety;

/// One request with two endpoints: the first follows a script and the second answers.
struct Case {
    name: &'static str,
    retry_safety: RetrySafety,
    first: Vec<Step>,
    status: u16,
    verdict: Option<&'static str>,
    /// Number of requests that the second endpoint receives.
    second: usize,
}

fn raw(text: &str) -> Vec<Step> {
    vec![Step::Write(text.to_owned())]
}

fn case(
    name: &'static str,
    retry_safety: RetrySafety,
    first: Vec<Step>,
    status: u16,
    second: usize,
) -> Case {
    Case {
        name,
        retry_safety,
        first,
        status,
        verdict: (status == 502).then_some("may-have-run"),
        second,
    }
}

fn cases() -> Vec<Case> {
    let cut = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 9\r\n\r\nabc";
    let foreign = "HTTP/1.1 200 OK\r\nx-id: 2\r\nx-seal: s\r\nContent-Length: 1\r\n\r\na";
    let unsealed = "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 1\r\n\r\na";
    let misdirected = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
    let bare_503 = "HTTP/1.1 503 No\r\nx-id: 1\r\nContent-Length: 0\r\n\r\n";
    vec![
        case("answered", RetrySafety::NonIdempotent, answer("a"), 200, 0),
        case(
            "refused, once",
            RetrySafety::NonIdempotent,
            refusal(),
            200,
            1,
        ),
        case(
            "misdirected, once",
            RetrySafety::NonIdempotent,
            raw(misdirected),
            200,
            1,
        ),
        case(
            "reset, once",
            RetrySafety::NonIdempotent,
            vec![Step::Reset],
            502,
            0,
        ),
        case("closed, once", RetrySafety::NonIdempotent, vec![], 502, 0),
        Case {
            verdict: Some("ran"),
            ..case("cut, once", RetrySafety::NonIdempotent, raw(cut), 502, 0)
        },
        case(
            "foreign, once",
            RetrySafety::NonIdempotent,
            raw(foreign),
            502,
            0,
        ),
        case(
            "unsealed, once",
            RetrySafety::NonIdempotent,
            raw(unsealed),
            502,
            0,
        ),
        case(
            "rubbish, once",
            RetrySafety::NonIdempotent,
            raw("rubbish\r\n\r\n"),
            502,
            0,
        ),
        Case {
            verdict: Some("ran"),
            ..case(
                "a bare 503 does not prove that nothing ran",
                RetrySafety::NonIdempotent,
                raw(bare_503),
                502,
                0,
            )
        },
        case(
            "own failure, once",
            RetrySafety::NonIdempotent,
            error_response(),
            500,
            0,
        ),
        case(
            "reset, idempotent",
            RetrySafety::Idempotent,
            vec![Step::Reset],
            200,
            1,
        ),
        case("cut, idempotent", RetrySafety::Idempotent, raw(cut), 200, 1),
        case(
            "foreign, idempotent",
            RetrySafety::Idempotent,
            raw(foreign),
            200,
            1,
        ),
        case(
            "unsealed, idempotent",
            RetrySafety::Idempotent,
            raw(unsealed),
            200,
            1,
        ),
        case(
            "own failure, idempotent",
            RetrySafety::Idempotent,
            error_response(),
            200,
            1,
        ),
        case(
            "silent, idempotent",
            RetrySafety::Idempotent,
            vec![Step::Sleep(4_000)],
            200,
            1,
        ),
    ]
}

#[test]
fn failures_are_retried_only_where_that_is_safe() {
    for case in cases() {
        let first = ScriptedEndpoint::start(vec![case.first]);
        let second = ScriptedEndpoint::start(vec![answer("second")]);
        let harness = Harness::new(route(case.retry_safety), &[first.addr, second.addr], 10.0);
        let received = harness.send(&[]);
        assert_eq!(received.status, case.status, "{}", case.name);
        assert_eq!(received.verdict.as_deref(), case.verdict, "{}", case.name);
        assert_eq!(second.request_count(), case.second, "{}", case.name);
        assert_eq!(first.request_count(), 1, "{}", case.name);
    }
}

#[test]
fn refusals_by_all_endpoints_report_that_nothing_ran() {
    let endpoints = [
        ScriptedEndpoint::start(vec![refusal()]),
        ScriptedEndpoint::start(vec![refusal()]),
    ];
    let addrs = [endpoints[0].addr, endpoints[1].addr];
    let received = Harness::new(route(RetrySafety::NonIdempotent), &addrs, 10.0).send(&[]);
    let expected = Received {
        status: 503,
        verdict: Some("not-run".to_owned()),
        body: String::new(),
        is_complete: true,
    };
    assert_eq!(received, expected);
}

#[test]
fn unreachable_endpoints_use_no_retry_budget() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let live = ScriptedEndpoint::start(vec![answer("a")]);
    let received =
        Harness::new(route(RetrySafety::NonIdempotent), &[closed, live.addr], 0.0).send(&[]);
    assert_eq!(received.status, 200);
}

#[test]
fn the_retry_budget_is_enforced() {
    let first = ScriptedEndpoint::start(vec![error_response()]);
    let second = ScriptedEndpoint::start(vec![answer("a")]);
    let harness = Harness::new(
        route(RetrySafety::Idempotent),
        &[first.addr, second.addr],
        1.0,
    );
    let statuses: Vec<u16> = (0..3).map(|_| harness.send(&[]).status).collect();
    // The first failure is retried. Then the budget is used up and the error response is forwarded.
    assert_eq!(statuses[0], 200);
    assert!(second.request_count() >= 1);
    let sent = first.request_count() + second.request_count();
    assert_eq!(sent, 4, "{statuses:?}");
}

#[test]
fn a_request_ends_at_its_deadline() {
    let first = ScriptedEndpoint::start(vec![vec![Step::Sleep(5_000)]]);
    let harness = Harness::new(route(RetrySafety::NonIdempotent), &[first.addr], 10.0);
    let started = std::time::Instant::now();
    let received = harness.send(&[("x-budget-ms", "300")]);
    assert_eq!(
        (received.status, received.verdict.as_deref()),
        (504, Some("may-have-run"))
    );
    assert!(started.elapsed().as_millis() < 600);
}

#[test]
fn endpoints_receive_the_remaining_time() {
    let first = ScriptedEndpoint::start(vec![vec![Step::Sleep(50), Step::Reset]]);
    let second = ScriptedEndpoint::start(vec![answer("a")]);
    let harness = Harness::new(
        route(RetrySafety::Idempotent),
        &[first.addr, second.addr],
        10.0,
    );
    harness.send(&[("x-budget-ms", "1000")]);
    let remaining_ms = |head: String| -> u64 {
        let line = head
            .lines()
            .find_map(|line| line.strip_prefix("x-left-ms: ").map(str::to_owned));
        line.unwrap().parse().unwrap()
    };
    assert!(remaining_ms(first.head(0)) > remaining_ms(second.head(0)) + 40);
}

/// Issue 29: bytes that are no answer may come without end until the caller closes. Many such bodies
/// must not take as much memory as each of them may alone.
#[test]
fn bodies_without_end_are_bounded_together() {
    const BODIES: usize = 40;
    // Less than the bodies may take one by one; the buffers of the sockets take a part of it.
    const MAX_BYTES: u64 = (BODIES as u64) * (16 << 20) * 3 / 4;
    let endless = ScriptedEndpoint::start(vec![vec![
        Step::Write("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\n".to_owned()),
        // Bodies that come one after the other may each be as large as one alone.
        Step::AwaitRequests(BODIES),
        Step::Endless("x"),
    ]]);
    let harness = Harness::new(route(RetrySafety::NonIdempotent), &[endless.addr], 10.0);
    let mut all: Pin<Box<dyn Future<Output = Vec<u16>>>> = Box::pin(ready(Vec::new()));
    for _ in 0..BODIES {
        let both = zip(all, harness.send_async(&[]));
        all = Box::pin(async {
            let (mut statuses, received) = both.await;
            statuses.push(received.status);
            statuses
        });
    }
    let statuses = async_io::block_on(all);
    assert_eq!(statuses, [502; BODIES]);
    let bytes = endless.endless_bytes.load(Ordering::Relaxed);
    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
}
