//! Each arrival at an endpoint beyond the first of a request is paid for by the retry budget, and
//! counted, whatever became of the sends before.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use common::fleet::Fleet;
use common::{
    Harness, ScriptedEndpoint, Step, error_response, events, refusal, route, stream_head,
};
use route::RetrySafety;

const REQUESTS: usize = 8;
const FLOOR: f64 = 5.0;

struct Case {
    name: &'static str,
    retry_safety: RetrySafety,
    /// What all endpoints do with all requests.
    script: Vec<Step>,
}

fn cases() -> Vec<Case> {
    let raw = |text: &str| vec![Step::Write(text.to_owned())];
    let cut = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 9\r\n\r\nabc";
    let foreign = "HTTP/1.1 200 OK\r\nx-id: 2\r\nx-seal: s\r\nContent-Length: 1\r\n\r\na";
    let unsealed = "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 1\r\n\r\na";
    let misdirected = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
    let bare_503 = "HTTP/1.1 503 No\r\nx-id: 1\r\nContent-Length: 0\r\n\r\n";
    let case = |name, retry_safety, script| Case {
        name,
        retry_safety,
        script,
    };
    let idempotent = RetrySafety::Idempotent;
    vec![
        case("refused", idempotent, refusal()),
        case("refused, once", RetrySafety::NonIdempotent, refusal()),
        case("misdirected", idempotent, raw(misdirected)),
        case("bare 503", idempotent, raw(bare_503)),
        case("own failure", idempotent, error_response()),
        case("foreign", idempotent, raw(foreign)),
        case("unsealed", idempotent, raw(unsealed)),
        case("cut", idempotent, raw(cut)),
        case("rubbish", idempotent, raw("rubbish\r\n\r\n")),
        case("closed", idempotent, vec![]),
        case("reset", idempotent, vec![Step::Reset]),
        case("stream refused", RetrySafety::ResumableStream, refusal()),
        case(
            "stream cut before its first event",
            RetrySafety::ResumableStream,
            vec![stream_head(90)],
        ),
        case(
            "stream cut after an event",
            RetrySafety::ResumableStream,
            vec![stream_head(90), events(1..=1)],
        ),
    ]
}

/// Returns the arrivals beyond the first of each request.
fn retries(endpoints: &[ScriptedEndpoint]) -> usize {
    let mut first = HashSet::new();
    let mut retries = 0;
    for endpoint in endpoints {
        for head in endpoint.heads.lock().unwrap().iter() {
            let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
            retries += usize::from(!first.insert(target));
        }
    }
    retries
}

fn start(script: &[Step]) -> (Vec<ScriptedEndpoint>, Vec<SocketAddr>) {
    let endpoints: Vec<ScriptedEndpoint> = (0..3)
        .map(|_| ScriptedEndpoint::start(vec![script.to_vec()]))
        .collect();
    let addrs = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    (endpoints, addrs)
}

fn counted(harness: &Harness) -> usize {
    let counters = harness.pipeline.counters();
    counters.retries.load(Ordering::Relaxed) as usize
}

#[test]
fn no_retry_goes_uncounted() {
    for case in cases() {
        let (endpoints, addrs) = start(&case.script);
        let harness = Harness::new(route(case.retry_safety).max_attempts(3), &addrs, FLOOR);
        for number in 0..REQUESTS {
            let target = format!("/x/{number}");
            async_io::block_on(harness.send_to(&target, &[]));
        }
        let retries = retries(&endpoints);
        let name = case.name;
        assert!(retries > 0, "{name}");
        assert!(retries as f64 <= FLOOR, "{name}: {retries} retries");
        assert_eq!(counted(&harness), retries, "{name}: the metric");
    }
}

#[test]
fn no_retry_of_a_carried_request_goes_uncounted() {
    for case in cases() {
        let (endpoints, addrs) = start(&case.script);
        let out_of_reach = vec!["127.0.0.1:1".parse().unwrap(); addrs.len()];
        let route = route(case.retry_safety).max_attempts(3);
        let fleet = Fleet::with_floor(&route, &[out_of_reach, addrs], FLOOR);
        for number in 0..REQUESTS {
            fleet.send(0, &format!("/x/{number}"));
        }
        let retries = retries(&endpoints);
        let counted: usize = fleet.instances.iter().map(counted).sum();
        let name = case.name;
        assert!(retries as f64 <= FLOOR, "{name}: {retries} retries");
        assert_eq!(counted, retries, "{name}: the metric");
    }
}
