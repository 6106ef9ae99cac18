//! A plain request that crashes each endpoint that begins it is refused, and no other.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Harness, Received, listen, read_head, route};
use futures_lite::future::block_on;
use kernel::Clock;
use route::RetrySafety;

/// Time from the start of the request to the crash of its endpoint, without a byte of an answer.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// How long a crashed endpoint accepts no requests.
const RESTART_TIME: Duration = Duration::from_millis(120);

/// The time that the reports of instances take, and the decision on them.
const REPORT_TIME: Duration = Duration::from_millis(200);

/// The crashes from which the cause must be known, and the requests that may reach endpoints later.
const CRASHES_TO_LEARN: u64 = 3;
const MAX_LATER_STARTS: u64 = 3;

#[derive(Debug, Default)]
struct EndpointLog {
    crashes: u64,
    is_down: bool,
    connections: Vec<TcpStream>,
}

/// An endpoint that ends soon after it has begun a request for the bad target, and is back a moment
/// later.
struct CrashingEndpoint {
    addr: SocketAddr,
    log: Arc<Mutex<EndpointLog>>,
}

impl CrashingEndpoint {
    fn start() -> CrashingEndpoint {
        let log: Arc<Mutex<EndpointLog>> = Arc::default();
        let shared = log.clone();
        let addr = listen(move |stream| answer(stream, &shared));
        CrashingEndpoint { addr, log }
    }

    fn crash(&self) {
        crash(&self.log);
    }

    fn crashes(&self) -> u64 {
        self.log.lock().unwrap().crashes
    }
}

fn answer(mut stream: TcpStream, log: &Mutex<EndpointLog>) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    {
        let mut log = log.lock().unwrap();
        if log.is_down {
            return;
        }
        log.connections.extend(stream.try_clone());
    }
    std::thread::sleep(CRASH_DELAY);
    if head.contains("/x/bad") {
        crash(log);
        return;
    }
    let answer = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 1\r\n\r\na";
    let _ = stream.write_all(answer.as_bytes());
}

fn crash(log: &Mutex<EndpointLog>) {
    let mut state = log.lock().unwrap();
    if state.is_down {
        return;
    }
    state.crashes += 1;
    state.is_down = true;
    for connection in state.connections.drain(..) {
        let _ = connection.shutdown(std::net::Shutdown::Both);
    }
    drop(state);
    std::thread::sleep(RESTART_TIME);
    log.lock().unwrap().is_down = false;
}

/// Several instances over the same endpoints.
struct Fleet {
    instances: Vec<Harness>,
    endpoints: Vec<CrashingEndpoint>,
}

impl Fleet {
    fn start(instances: usize, endpoints: usize) -> Fleet {
        let endpoints: Vec<CrashingEndpoint> =
            (0..endpoints).map(|_| CrashingEndpoint::start()).collect();
        let addrs: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
        let route = route(RetrySafety::Idempotent).max_attempts(3);
        let instance = |_| Harness::new(route.clone(), &addrs, 1_000.0);
        Fleet {
            instances: (0..instances).map(instance).collect(),
            endpoints,
        }
    }

    /// Sends a request to one instance once its endpoints are listed with their latest starts and the
    /// instances have reported to one another.
    fn send(&self, instance: usize, target: &str) -> Received {
        std::thread::sleep(RESTART_TIME + REPORT_TIME);
        for harness in &self.instances {
            self.list_endpoints(harness);
        }
        self.exchange();
        block_on(self.instances[instance].send_to(target, &[]))
    }

    fn list_endpoints(&self, harness: &Harness) {
        let starts: Vec<u64> = self
            .endpoints
            .iter()
            .map(CrashingEndpoint::crashes)
            .collect();
        harness.list_starts(&starts);
    }

    /// Does what the control threads do at each report of the others.
    fn exchange(&self) {
        for receiver in &self.instances {
            let mut reports = Vec::new();
            for sender in &self.instances {
                if std::ptr::eq(sender, receiver) {
                    continue;
                }
                let crashes = sender.pipeline.shared_loads().crashes().clone();
                reports.extend(crashes.reported(sender.clock.mono_ms()));
            }
            let crashes = receiver.pipeline.shared_loads().crashes().clone();
            crashes.set_peers(&reports, receiver.clock.mono_ms());
        }
    }

    fn crashes(&self) -> u64 {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }
}

/// Issue 34, BUDGET: one plain request that came again ended three endpoints each time.
#[test]
fn a_plain_request_that_crashes_endpoints_is_learned_from_few_crashes() {
    for (instances, endpoints) in [(1, 3), (3, 3), (3, 9)] {
        let case = format!("{instances} instances, {endpoints} endpoints");
        let fleet = Fleet::start(instances, endpoints);
        for number in 0..8 {
            let instance = number % instances;
            let sound = fleet.send(instance, &format!("/x/{number}"));
            assert_eq!(sound.status, 200, "{case}: sound request {number}");
            fleet.send(instance, "/x/bad");
        }
        let crashes = fleet.crashes();
        assert!(
            crashes <= CRASHES_TO_LEARN + MAX_LATER_STARTS,
            "{case}: {crashes} crashes"
        );
        for instance in 0..instances {
            let began = Instant::now();
            let refused = fleet.send(instance, "/x/bad");
            assert_eq!(refused.status, 503, "{case}");
            assert_eq!(refused.verdict.as_deref(), Some("not-run"), "{case}");
            assert!(began.elapsed() < RESTART_TIME + REPORT_TIME + CRASH_DELAY);
        }
        assert_eq!(fleet.crashes(), crashes, "{case}");
    }
}

/// Guards against refusing plain requests because endpoints crash for other reasons while they run.
#[test]
fn crashes_with_other_causes_refuse_no_plain_request() {
    let fleet = Fleet::start(2, 3);
    for number in 0..12 {
        // Each endpoint in turn ends at a time of its own, also while the repeated request runs.
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(RESTART_TIME + REPORT_TIME + CRASH_DELAY / 2);
                fleet.endpoints[number % 3].crash();
            });
            let received = fleet.send(number % 2, "/x/same");
            assert_eq!(received.status, 200, "request {number}");
        });
    }
    assert!(fleet.crashes() >= 10, "{} crashes", fleet.crashes());
}
