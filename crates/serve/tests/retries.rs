//! What may run again, what may not, and what the caller is told.

mod common;

use common::{Got, Rig, Scripted, Step, answer, own_failure, refusal, route};
use route::RetrySafety;

/// One request over two endpoints, of which the first follows a script and the second answers.
struct Case {
    name: &'static str,
    retry_safety: RetrySafety,
    first: Vec<Step>,
    status: u16,
    verdict: Option<&'static str>,
    /// How often the second endpoint is asked.
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
    let gone = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
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
            raw(gone),
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
                "a bare 503 promises nothing",
                RetrySafety::NonIdempotent,
                raw(bare_503),
                502,
                0,
            )
        },
        case(
            "own failure, once",
            RetrySafety::NonIdempotent,
            own_failure(),
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
            own_failure(),
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
fn each_failure_is_repeated_only_where_that_is_allowed() {
    for case in cases() {
        let first = Scripted::start(vec![case.first]);
        let second = Scripted::start(vec![answer("second")]);
        let rig = Rig::new(route(case.retry_safety), &[first.addr, second.addr], 10.0);
        let got = rig.send(&[]);
        assert_eq!(got.status, case.status, "{}", case.name);
        assert_eq!(got.verdict.as_deref(), case.verdict, "{}", case.name);
        assert_eq!(second.arrivals(), case.second, "{}", case.name);
        assert_eq!(first.arrivals(), 1, "{}", case.name);
    }
}

#[test]
fn a_refusal_by_all_promises_that_nothing_ran() {
    let endpoints = [
        Scripted::start(vec![refusal()]),
        Scripted::start(vec![refusal()]),
    ];
    let addrs = [endpoints[0].addr, endpoints[1].addr];
    let got = Rig::new(route(RetrySafety::NonIdempotent), &addrs, 10.0).send(&[]);
    let expected = Got {
        status: 503,
        verdict: Some("not-run".to_owned()),
        body: String::new(),
        whole: true,
    };
    assert_eq!(got, expected);
}

#[test]
fn endpoints_that_cannot_be_reached_cost_no_repeat() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let live = Scripted::start(vec![answer("a")]);
    let got = Rig::new(route(RetrySafety::NonIdempotent), &[closed, live.addr], 0.0).send(&[]);
    assert_eq!(got.status, 200);
}

#[test]
fn the_budget_of_repeats_is_kept() {
    let first = Scripted::start(vec![own_failure()]);
    let second = Scripted::start(vec![answer("a")]);
    let rig = Rig::new(
        route(RetrySafety::Idempotent),
        &[first.addr, second.addr],
        1.0,
    );
    let statuses: Vec<u16> = (0..3).map(|_| rig.send(&[]).status).collect();
    // The first failure is repeated; then the budget is used up and the endpoint's own word stays.
    assert_eq!(statuses[0], 200);
    assert!(second.arrivals() >= 1);
    let sent = first.arrivals() + second.arrivals();
    assert_eq!(sent, 4, "{statuses:?}");
}

#[test]
fn a_request_ends_at_its_time() {
    let first = Scripted::start(vec![vec![Step::Sleep(5_000)]]);
    let rig = Rig::new(route(RetrySafety::NonIdempotent), &[first.addr], 10.0);
    let began = std::time::Instant::now();
    let got = rig.send(&[("x-budget-ms", "300")]);
    assert_eq!(
        (got.status, got.verdict.as_deref()),
        (504, Some("may-have-run"))
    );
    assert!(began.elapsed().as_millis() < 600);
}

#[test]
fn what_is_passed_on_is_the_time_that_is_left() {
    let first = Scripted::start(vec![vec![Step::Sleep(50), Step::Reset]]);
    let second = Scripted::start(vec![answer("a")]);
    let rig = Rig::new(
        route(RetrySafety::Idempotent),
        &[first.addr, second.addr],
        10.0,
    );
    rig.send(&[("x-budget-ms", "1000")]);
    let left = |head: String| -> u64 {
        let line = head
            .lines()
            .find_map(|line| line.strip_prefix("x-left-ms: ").map(str::to_owned));
        line.unwrap().parse().unwrap()
    };
    assert!(left(first.head(0)) > left(second.head(0)) + 40);
}
