//! A request runs at no more endpoints than its route allows, and no endpoint gets more time than the
//! caller has left, also if the first ones fail and by way of a peer.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;

use common::fleet::Fleet;
use common::{
    Harness, Received, ScriptedEndpoint, Step, error_response, events, refusal, route, stream_head,
};
use route::RetrySafety;

const REQUESTS: usize = 6;
const MAX_ATTEMPTS: u32 = 3;
const FLOOR: f64 = 1_000.0;

/// By which way a request reaches endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    /// The first instance reaches no endpoint, and two peers do.
    Carried,
}

const WAYS: [Way; 2] = [Way::Direct, Way::Carried];

/// An instance, or a fleet, that sends to these endpoints.
enum Sender {
    Direct(Harness),
    Carried(Fleet),
}

impl Sender {
    fn new(way: Way, retry_safety: RetrySafety, endpoints: &[ScriptedEndpoint]) -> Sender {
        let route = route(retry_safety).max_attempts(MAX_ATTEMPTS);
        let addrs: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
        if way == Way::Direct {
            return Sender::Direct(Harness::new(route, &addrs, FLOOR));
        }
        let out_of_reach = vec!["127.0.0.1:1".parse().unwrap(); addrs.len()];
        let addresses = [out_of_reach, addrs.clone(), addrs];
        Sender::Carried(Fleet::with_floor(&route, &addresses, FLOOR))
    }

    fn send(&self, target: &str) -> Received {
        match self {
            Sender::Direct(harness) => async_io::block_on(harness.send_to(target, &[])),
            Sender::Carried(fleet) => fleet.send(0, target),
        }
    }
}

fn target(head: &str) -> String {
    head.split(' ').nth(1).unwrap_or_default().to_owned()
}

fn left_ms(head: &str) -> u64 {
    let mut lines = head.lines();
    let text = lines.find_map(|line| line.strip_prefix("x-left-ms: "));
    text.unwrap().parse().unwrap()
}

#[test]
fn no_request_runs_at_more_endpoints_than_its_route_allows() {
    let cut = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 9\r\n\r\nabc";
    let stream = RetrySafety::ResumableStream;
    let idempotent = RetrySafety::Idempotent;
    for (name, retry_safety, failing) in [
        ("own failure", idempotent, error_response()),
        ("cut", idempotent, vec![Step::Write(cut.to_owned())]),
        ("closed", idempotent, vec![]),
        ("stream without events", stream, vec![stream_head(90)]),
        ("stream", stream, vec![stream_head(90), events(1..=1)]),
    ] {
        for way in WAYS {
            let mut endpoints = vec![ScriptedEndpoint::start(vec![refusal()])];
            endpoints.extend((0..5).map(|_| ScriptedEndpoint::start(vec![failing.clone()])));
            let sender = Sender::new(way, retry_safety, &endpoints);
            for number in 0..REQUESTS {
                sender.send(&format!("/x/{number}"));
            }
            let mut runs: HashMap<String, u32> = HashMap::new();
            for endpoint in &endpoints[1..] {
                for head in endpoint.heads.lock().unwrap().iter() {
                    *runs.entry(target(head)).or_default() += 1;
                }
            }
            let most = runs.values().copied().max().unwrap_or_default();
            assert!(
                (1..=MAX_ATTEMPTS).contains(&most),
                "{name}, {way:?}: {most}"
            );
        }
    }
}

/// Time that the first endpoint takes, in milliseconds.
const SLOW_MS: u64 = 450;

#[test]
fn later_endpoints_get_only_the_time_that_the_caller_has_left() {
    let late_failure = || {
        let mut script = vec![Step::Sleep(SLOW_MS)];
        script.extend(error_response());
        script
    };
    for way in WAYS {
        let endpoints: Vec<ScriptedEndpoint> = (0..3)
            .map(|_| ScriptedEndpoint::start(vec![late_failure()]))
            .collect();
        let sender = Sender::new(way, RetrySafety::Idempotent, &endpoints);
        sender.send("/x/1");
        let heads = endpoints
            .iter()
            .flat_map(|endpoint| endpoint.heads.lock().unwrap().clone());
        let mut left: Vec<u64> = heads.map(|head| left_ms(&head)).collect();
        left.sort_unstable();
        left.reverse();
        assert!(left.len() > 1, "{way:?}: {left:?}");
        let timeout_ms = route(RetrySafety::Idempotent).timeout_ms.unwrap();
        for (number, left_ms) in left.iter().enumerate() {
            let most_ms = timeout_ms - SLOW_MS * number as u64;
            assert!(*left_ms <= most_ms, "{way:?}: {left:?}");
        }
    }
}
