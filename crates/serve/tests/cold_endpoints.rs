//! Endpoints that are cold get a few requests, and others the rest.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use common::fleet::Fleet;
use common::{Harness, listen, read_head, route};
use limits::COLD_GRACE_MS;
use route::RetrySafety;

const START_MS: u64 = 3_000;

/// Without a bound beyond it, one instance alone may send 4 of these a second.
const PER_S: f64 = 9.3;

#[derive(Debug, Default)]
struct EndpointLog {
    requests: AtomicU32,
    /// Whether connections are closed instead of answers.
    breaks: AtomicBool,
    /// For how long its answers to health checks say that it stays cold, in milliseconds.
    cold_left_ms: AtomicU64,
    health_checks: AtomicU32,
}

#[derive(Debug)]
struct ColdEndpoint {
    addr: SocketAddr,
    log: Arc<EndpointLog>,
}

impl ColdEndpoint {
    fn start() -> ColdEndpoint {
        let log: Arc<EndpointLog> = Arc::default();
        let shared = log.clone();
        let addr = listen(move |stream| answer(stream, &shared));
        ColdEndpoint { addr, log }
    }

    fn requests(&self) -> u32 {
        self.log.requests.load(Ordering::Relaxed)
    }
}

fn answer(mut stream: TcpStream, log: &EndpointLog) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    if let Some(id) = head
        .lines()
        .find_map(|line| line.strip_prefix("x-health: "))
    {
        log.health_checks.fetch_add(1, Ordering::Relaxed);
        let left_ms = log.cold_left_ms.load(Ordering::Relaxed);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-instance: {id}\r\nx-cold-ms: {left_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = stream.write_all(answer.as_bytes());
        return;
    }
    log.requests.fetch_add(1, Ordering::Relaxed);
    if !log.breaks.load(Ordering::Relaxed) {
        let head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 1\r\n\r\na";
        let _ = stream.write_all(head.as_bytes());
    }
}

fn start(count: usize) -> (Vec<ColdEndpoint>, Vec<SocketAddr>) {
    let endpoints: Vec<ColdEndpoint> = (0..count).map(|_| ColdEndpoint::start()).collect();
    let addrs = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    (endpoints, addrs)
}

/// Returns an instance to which its endpoints are warm, and they take part in its choice alike.
fn warm_harness(addrs: &[SocketAddr]) -> Harness {
    let harness = Harness::new(route(RetrySafety::Idempotent), addrs, 1_000.0);
    harness.declare_cold(START_MS, PER_S);
    harness.list_starts(&vec![1_000; addrs.len()]);
    harness.send(&[]);
    harness.clock.age_by(START_MS + COLD_GRACE_MS);
    harness
}

/// Guards against a restarted instance that sends to endpoints of which it cannot know for how long they run.
#[test]
fn an_instance_that_starts_refuses_at_once_what_only_cold_endpoints_could_take() {
    let (endpoints, addrs) = start(1);
    let harness = Harness::new(route(RetrySafety::Idempotent), &addrs, 10.0);
    harness.declare_cold(START_MS, PER_S);
    let received = harness.send(&[]);
    assert_eq!((received.status, endpoints[0].requests()), (503, 0));
    assert_eq!(received.verdict.as_deref(), Some("not-run"));
    harness.clock.age_by(1_000);
    assert_eq!(harness.send(&[]).status, 200);
    assert_eq!(harness.send(&[]).status, 503);
    harness.clock.age_by(START_MS);
    for _ in 0..20 {
        assert_eq!(harness.send(&[]).status, 200);
    }
}

/// Guards against requests in bulk to an endpoint that returns with a new start, and is idle.
#[test]
fn warm_endpoints_take_the_rest_while_a_new_run_is_cold() {
    let (endpoints, addrs) = start(2);
    let harness = warm_harness(&addrs);
    harness.list_starts(&[2_000, 1_000]);
    let before = endpoints[0].requests();
    for _ in 0..20 {
        assert_eq!(harness.send(&[]).status, 200);
    }
    // The instance waits before the first one.
    assert_eq!(endpoints[0].requests(), before);
    let cold = harness.pipeline.shared_loads();
    assert!(cold.cold().withheld.load(Ordering::Relaxed) >= 20);
    harness.clock.age_by(500);
    for _ in 0..20 {
        assert_eq!(harness.send(&[]).status, 200);
    }
    assert!(endpoints[0].requests() <= before + 2);
    assert!(cold.cold().sent.load(Ordering::Relaxed) <= 2);
}

/// Guards against retries and requests in bulk to an endpoint that broke its connections and is back before its entry
/// changed, at the instance that saw it and at one that did not.
#[test]
fn an_endpoint_whose_connection_broke_is_cold_here_and_at_a_peer_that_is_told() {
    let (endpoints, addrs) = start(2);
    let instances = [warm_harness(&addrs), warm_harness(&addrs)];
    let first = &endpoints[0];
    first.log.breaks.store(true, Ordering::Relaxed);
    for _ in 0..50 {
        assert_eq!(instances[0].send(&[]).status, 200);
    }
    first.log.breaks.store(false, Ordering::Relaxed);
    let loads = instances[0].pipeline.shared_loads();
    let reported = loads.cold().to_report(instances[0].clock_ms());
    assert_eq!(reported.len(), 1);
    let peer = instances[1].pipeline.shared_loads();
    peer.cold().merge(reported[0], instances[1].clock_ms());
    let before = first.requests();
    for instance in &instances {
        for _ in 0..20 {
            assert_eq!(instance.send(&[]).status, 200);
        }
    }
    // Each of these two instances counts itself as alone.
    assert!(first.requests() <= before + 2, "{}", first.requests());
    for instance in &instances {
        instance.clock.age_by(START_MS + COLD_GRACE_MS);
        for _ in 0..20 {
            assert_eq!(instance.send(&[]).status, 200);
        }
    }
    assert!(first.requests() > before + 2);
}

/// Guards against instances that each count themselves among the senders.
#[test]
fn only_the_first_instances_by_rank_send_to_a_cold_endpoint() {
    const INSTANCES: usize = 8;
    let (endpoints, addrs) = start(1);
    let fleet = Fleet::new(&route(RetrySafety::Idempotent), &vec![addrs; INSTANCES]);
    for instance in &fleet.instances {
        instance.declare_cold(START_MS, PER_S);
        instance.send(&[]);
        instance.clock.age_by(1_500);
        (0..5).for_each(|_| _ = instance.send(&[]));
    }
    assert_eq!(endpoints[0].requests(), 3);
}

/// Guards against requests in bulk to an endpoint that restarted unseen within its cold period, as that ends.
#[test]
fn instances_ask_at_the_end_of_a_cold_period_and_tell_of_a_restart() {
    const INSTANCES: usize = 8;
    let (endpoints, addrs) = start(1);
    let log = &endpoints[0].log;
    let fleet = Fleet::new(&route(RetrySafety::Idempotent), &vec![addrs; INSTANCES]);
    let age_by = |age_ms| {
        let each = fleet.instances.iter();
        each.for_each(|instance| instance.clock.age_by(age_ms));
    };
    let wait_for_checks = || {
        let wait = fleet.executor.run(Timer::after(Duration::from_millis(200)));
        async_io::block_on(wait);
    };
    for instance in &fleet.instances {
        instance.declare_cold(START_MS, PER_S);
        instance.send(&[]);
    }
    age_by(START_MS);
    log.cold_left_ms.store(2_000, Ordering::Relaxed);
    wait_for_checks();
    // Three that send, and one more within half of the bound.
    assert_eq!(log.health_checks.load(Ordering::Relaxed), 4);
    let reports = |instance: &Harness| {
        let shared = instance.pipeline.shared_loads();
        shared.cold().to_report(instance.clock_ms())
    };
    let told = fleet.instances.iter().flat_map(reports).next().unwrap();
    for instance in &fleet.instances {
        let shared = instance.pipeline.shared_loads();
        shared.cold().merge(told, instance.clock_ms());
    }
    age_by(COLD_GRACE_MS);
    let before = endpoints[0].requests();
    for instance in &fleet.instances {
        (0..5).for_each(|_| _ = instance.send(&[]));
    }
    assert!(endpoints[0].requests() <= before + 3);
    age_by(2_000);
    log.cold_left_ms.store(0, Ordering::Relaxed);
    wait_for_checks();
    for instance in &fleet.instances {
        assert_eq!(instance.send(&[]).status, 200);
    }
}

/// Guards against a change for services without a rate for cold endpoints.
#[test]
fn endpoints_of_other_services_are_never_cold() {
    let (endpoints, addrs) = start(2);
    let harness = Harness::new(route(RetrySafety::Idempotent), &addrs, 1_000.0);
    endpoints[0].log.breaks.store(true, Ordering::Relaxed);
    for _ in 0..20 {
        assert_eq!(harness.send(&[]).status, 200);
    }
    let loads = harness.pipeline.shared_loads();
    assert_eq!(loads.cold().to_report(harness.clock_ms()), []);
    assert_eq!(loads.cold().withheld.load(Ordering::Relaxed), 0);
}
