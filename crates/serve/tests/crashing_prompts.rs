//! Requests whose prompts crash endpoints are refused, and only those.

mod common;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Harness, Health, Received, answer_health, listen, read_head, route};
use kernel::Clock;
use route::RetrySafety;

/// Time from the start of an answer to the crash of its endpoint.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// The time between crashes that are told apart as events.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);

/// How long a crashed endpoint accepts no requests.
const RESTART_TIME: Duration = Duration::from_millis(70);

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Chunked,
    /// By the end of the connection alone.
    UntilClose,
}

/// What an endpoint has written of the answer under which it crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    FirstEvent,
    PartOfHead,
    Nothing,
}

/// How endpoints crash and answer.
#[derive(Debug, Clone, Copy)]
struct Behavior {
    bad_part: &'static str,
    framing: Framing,
    written: Written,
    /// How long a crashed endpoint keeps further connections before it closes them.
    kept_time: Duration,
    /// Whether only the connection of an answer with the part ends, with a reset.
    resets_only: bool,
}

impl Behavior {
    fn crashing_on(bad_part: &'static str) -> Behavior {
        Behavior {
            bad_part,
            framing: Framing::Chunked,
            written: Written::FirstEvent,
            kept_time: Duration::ZERO,
            resets_only: false,
        }
    }

    fn resetting_on(part: &'static str) -> Behavior {
        Behavior {
            resets_only: true,
            ..Behavior::crashing_on(part)
        }
    }

    fn framing(self, framing: Framing) -> Behavior {
        Behavior { framing, ..self }
    }

    fn kept_time(self, kept_time: Duration) -> Behavior {
        Behavior { kept_time, ..self }
    }

    fn written(self, written: Written) -> Behavior {
        Behavior { written, ..self }
    }

    /// Returns what is written at the start of an answer.
    fn start(&self, is_bad: bool) -> String {
        let head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n";
        match (is_bad, self.written) {
            (true, Written::Nothing) => return String::new(),
            (true, Written::PartOfHead) => return head.to_owned(),
            _ => {}
        }
        let event = "id: 1\ndata: x\n\n";
        match self.framing {
            Framing::Chunked => format!("{head}Transfer-Encoding: chunked\r\n\r\nf\r\n{event}\r\n"),
            Framing::UntilClose => format!("{head}\r\n{event}"),
        }
    }
}

#[derive(Debug, Default)]
struct EndpointLog {
    crashed_at: Vec<Instant>,
    is_down: bool,
    /// The requests that were started, by the parts of their prompts.
    started: Vec<String>,
    connections: Vec<TcpStream>,
}

/// An endpoint that crashes soon after it began to answer a prompt with a certain part, and is back
/// a moment later.
struct CrashingEndpoint {
    addr: SocketAddr,
    log: Arc<Mutex<EndpointLog>>,
}

impl CrashingEndpoint {
    fn start(behavior: Behavior) -> CrashingEndpoint {
        let log: Arc<Mutex<EndpointLog>> = Arc::default();
        let shared = log.clone();
        let addr = listen(move |stream| answer(stream, &behavior, &shared));
        CrashingEndpoint { addr, log }
    }

    fn crashes(&self) -> u64 {
        self.log.lock().unwrap().crashed_at.len() as u64
    }

    /// Returns the number of crashes after which it was back some time ago.
    fn restarts_before(&self, ago: Duration) -> u64 {
        let log = self.log.lock().unwrap();
        let is_older = |at: &&Instant| at.elapsed() >= RESTART_TIME + ago;
        log.crashed_at.iter().filter(is_older).count() as u64
    }

    fn started_with(&self, part: &str) -> usize {
        let log = self.log.lock().unwrap();
        let has_part = |parts: &&String| parts.split(',').any(|found| found == part);
        log.started.iter().filter(has_part).count()
    }
}

fn answer(mut stream: TcpStream, behavior: &Behavior, log: &Mutex<EndpointLog>) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    let parts = head
        .lines()
        .find_map(|line| line.strip_prefix("x-parts: "))
        .unwrap_or_default()
        .to_owned();
    {
        let mut log = log.lock().unwrap();
        if log.is_down {
            drop(log);
            std::thread::sleep(behavior.kept_time);
            return;
        }
        if answer_health(&mut stream, &head, Health::After(0), None) {
            return;
        }
        log.connections.extend(stream.try_clone());
        log.started.push(parts.clone());
    }
    let is_bad = parts.split(',').any(|part| part == behavior.bad_part);
    if stream.write_all(behavior.start(is_bad).as_bytes()).is_err() {
        return;
    }
    std::thread::sleep(CRASH_DELAY);
    if is_bad && behavior.resets_only {
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        log.lock().unwrap().connections.clear();
        return;
    }
    if is_bad {
        let mut log = log.lock().unwrap();
        log.crashed_at.push(Instant::now());
        log.is_down = true;
        for connection in log.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(log);
        std::thread::sleep(RESTART_TIME);
    } else {
        if behavior.framing == Framing::Chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    log.lock().unwrap().is_down = false;
}

/// A harness over endpoints that crash on one prompt part.
struct Fleet {
    harness: Harness,
    endpoints: Vec<CrashingEndpoint>,
}

impl Fleet {
    fn start(count: usize, behavior: Behavior) -> Fleet {
        Fleet::with_attempts(2, count, behavior)
    }

    /// Starts a fleet whose requests may run this many times.
    fn with_attempts(attempts: u32, count: usize, behavior: Behavior) -> Fleet {
        let endpoints: Vec<CrashingEndpoint> = (0..count)
            .map(|_| CrashingEndpoint::start(behavior))
            .collect();
        let addrs: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
        let route = route(RetrySafety::ResumableStream).max_attempts(attempts);
        Fleet {
            harness: Harness::new(route, &addrs, 1_000.0),
            endpoints,
        }
    }

    /// Sends a request while endpoints that have crashed are still listed.
    fn send_at_once(&self, parts: &str) -> Received {
        self.harness.send(&[("x-parts", parts)])
    }

    /// Waits until the endpoints that have crashed are back.
    fn await_restarts(&self) {
        let is_down = |endpoint: &CrashingEndpoint| endpoint.log.lock().unwrap().is_down;
        while self.endpoints.iter().any(is_down) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends a request once its endpoints are listed with their latest starts.
    fn send(&self, parts: &str) -> Received {
        std::thread::sleep(RESTART_TIME);
        self.await_restarts();
        self.send_listed(parts, Duration::ZERO)
    }

    /// Sends a request while the registry tells only of the runs that began some time ago.
    fn send_listed(&self, parts: &str, lateness: Duration) -> Received {
        let restarts = |endpoint: &CrashingEndpoint| endpoint.restarts_before(lateness);
        let starts: Vec<u64> = self.endpoints.iter().map(restarts).collect();
        self.harness.list_starts(&starts);
        // The control thread does this at each report of the others.
        let crashes = self.harness.pipeline.shared_loads().crashes().clone();
        crashes.set_peers(&[], self.harness.clock.mono_ms());
        self.harness.send(&[("x-parts", parts)])
    }

    fn crashes(&self) -> u64 {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }

    fn started_with(&self, part: &str) -> usize {
        let started = |endpoint: &CrashingEndpoint| endpoint.started_with(part);
        self.endpoints.iter().map(started).sum()
    }
}

/// The crashes from which the cause must be known: eight requests reach endpoints at most, five that
/// crash them first and three more.
const MAX_BAD_STARTS: usize = 8;

/// Sends requests with the bad part among sound ones, and checks that it is learned in time.
fn check_that_the_bad_part_is_learned(written: Written) {
    let fleet = Fleet::start(6, Behavior::crashing_on("66").written(written));
    for number in 0..20 {
        let own = 1_000 + number;
        // Sound requests share the first part with bad ones, and the second with one another.
        let sound = fleet.send(&format!("1,{},{own}", 20 + number % 4));
        assert_eq!(sound.status, 200, "{written:?}: sound request {number}");
        assert!(sound.is_complete, "{written:?}: sound request {number}");
        fleet.send(&format!("1,66,{}", 5_000 + number));
    }
    let bad_starts = fleet.started_with("66");
    assert!(
        bad_starts <= MAX_BAD_STARTS,
        "{written:?}: {bad_starts} bad requests"
    );
    let crashes = fleet.crashes();
    let began = Instant::now();
    let refused = fleet.send("1,66,9000");
    assert_eq!(refused.status, 503, "{written:?}");
    assert_eq!(refused.verdict.as_deref(), Some("not-run"), "{written:?}");
    assert!(began.elapsed() < RESTART_TIME + Duration::from_millis(50));
    assert_eq!(fleet.crashes(), crashes, "{written:?}");
}

/// Issue 29, BUDGET: requests with one prompt part ended 71 endpoints in turn.
#[test]
fn a_prompt_part_that_crashes_endpoints_is_learned_from_few_crashes() {
    check_that_the_bad_part_is_learned(Written::FirstEvent);
}

/// Issue 59, BUDGET: a part was never learned if endpoints ended before the head of an answer to it.
#[test]
fn a_prompt_part_that_crashes_endpoints_before_their_answers_begin_is_learned() {
    for written in [Written::PartOfHead, Written::Nothing] {
        check_that_the_bad_part_is_learned(written);
    }
}

/// Guards against refusing sound requests because endpoints crash for other reasons.
#[test]
fn crashes_with_other_causes_refuse_no_request() {
    // Each request has a part of its own that crashes nothing twice, among parts that all share.
    let fleet = Fleet::start(4, Behavior::crashing_on("77"));
    let mut refused = BTreeSet::new();
    for number in 0..40 {
        let is_bad_moment = number % 5 == 4;
        // The last part is specific to the request, so it is never the cause.
        let own = if is_bad_moment { 77 } else { 3_000 + number };
        let received = fleet.send(&format!("1,{},{own}", 20 + number % 8));
        if received.status != 200 {
            refused.insert(number);
        }
    }
    assert!(fleet.crashes() >= 8, "{} crashes", fleet.crashes());
    assert!(refused.is_empty(), "refused: {refused:?}");
}

/// Guards against taking the end of an endpoint for the end of an answer that ends with its
/// connection: a part under which such answers seem to end well would never be blocked.
#[test]
fn an_answer_that_ends_with_its_connection_does_not_clear_its_prompt() {
    let fleet = Fleet::start(6, Behavior::crashing_on("66").framing(Framing::UntilClose));
    for number in 0..16 {
        fleet.send(&format!("1,66,{}", 5_000 + number));
        // Only the next request finds that the endpoint has ended.
        fleet.send_at_once(&format!("2,{},{}", 20 + number % 4, 1_000 + number));
        std::thread::sleep(EVENT_INTERVAL);
    }
    let bad_starts = fleet.started_with("66");
    assert!(bad_starts <= MAX_BAD_STARTS, "{bad_starts} bad requests");
}

/// Guards against learning too late, or never, under which part endpoints end whose listeners outlive them.
#[test]
fn an_answer_whose_endpoint_ended_before_its_listener_does_not_clear_its_prompt() {
    let behavior = Behavior::crashing_on("66")
        .framing(Framing::UntilClose)
        .kept_time(Duration::from_millis(100));
    let fleet = Fleet::start(6, behavior);
    for number in 0..16 {
        fleet.send(&format!("1,66,{}", 5_000 + number));
        std::thread::sleep(EVENT_INTERVAL);
    }
    let bad_starts = fleet.started_with("66");
    assert!(bad_starts <= MAX_BAD_STARTS, "{bad_starts} bad requests");
}

/// Sends requests with the bad part among sound ones while the registry is late to tell of the runs that follow
/// those which crashed, and checks that it is learned in time.
fn check_that_the_bad_part_is_learned_from_a_late_registry(lateness: Duration) {
    let fleet = Fleet::with_attempts(1, 6, Behavior::crashing_on("66"));
    fleet.harness.list_all_in_zone();
    for number in 0..12 {
        fleet.send_listed(&format!("1,66,{}", 5_000 + number), lateness);
        std::thread::sleep(RESTART_TIME + EVENT_INTERVAL);
        fleet.await_restarts();
        for sound in 0..12 {
            let own = 1_000 + 12 * number + sound;
            let received = fleet.send_listed(&format!("1,{},{own}", 20 + sound % 4), lateness);
            assert_eq!(received.status, 200, "{lateness:?}: sound request {own}");
        }
    }
    let bad_starts = fleet.started_with("66");
    assert!(
        bad_starts <= MAX_BAD_STARTS,
        "{lateness:?}: {bad_starts} bad requests"
    );
}

/// Guards against taking bytes of the run that follows under an identifier for a sign of life of the one that
/// crashed, so that the crashes of a part are forgotten.
#[test]
fn a_run_that_follows_under_the_same_id_does_not_clear_a_prompt() {
    check_that_the_bad_part_is_learned_from_a_late_registry(Duration::from_millis(300));
}

/// As above.
#[test]
fn a_run_that_is_listed_a_second_later_does_not_clear_a_prompt() {
    check_that_the_bad_part_is_learned_from_a_late_registry(Duration::from_secs(1));
}

/// Guards against refusing sound requests because connections to living endpoints are reset.
#[test]
fn connections_that_are_reset_block_no_prompt() {
    let fleet = Fleet::with_attempts(1, 6, Behavior::resetting_on("66"));
    fleet.harness.list_all_in_zone();
    let mut refused = BTreeSet::new();
    for number in 0..24 {
        let own = 5_000 + number;
        let received = fleet.send_listed(&format!("1,66,{own}"), Duration::ZERO);
        if received.status == 503 {
            refused.insert(number);
        }
        std::thread::sleep(EVENT_INTERVAL);
        for sound in 0..12 {
            let own = 1_000 + 12 * number + sound;
            let received = fleet.send_listed(&format!("2,{own}"), Duration::ZERO);
            assert_eq!(received.status, 200, "sound request {own}");
        }
    }
    assert!(refused.is_empty(), "refused: {refused:?}");
}
