//! Endpoints that end if they have to refuse too many requests are spared.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use common::fleet::Fleet;
use common::{listen, read, read_head, request, route};
use relay::Handler;
use route::RetrySafety;

/// Requests that an endpoint runs at a time, and for how long.
const SLOTS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(40);

/// Requests that may wait.
const QUEUE: usize = 2;

/// Requests that an endpoint may refuse in a second.
const REFUSAL_LIMIT: usize = 4;

const SECOND: Duration = Duration::from_secs(1);

/// How long an endpoint that ended accepts no requests.
const RESTART_TIME: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct EndpointLog {
    running: usize,
    waiting: usize,
    refusals: Vec<Instant>,
    ends: usize,
    down_until: Option<Instant>,
}

#[derive(Debug)]
struct FragileEndpoint {
    addr: SocketAddr,
    log: Arc<Mutex<EndpointLog>>,
}

impl FragileEndpoint {
    fn start() -> FragileEndpoint {
        let log: Arc<Mutex<EndpointLog>> = Arc::default();
        let shared = log.clone();
        let addr = listen(move |stream| answer(stream, &shared));
        FragileEndpoint { addr, log }
    }

    fn ends(&self) -> usize {
        self.log.lock().unwrap().ends
    }
}

fn answer(mut stream: TcpStream, log: &Mutex<EndpointLog>) {
    if read_head(&mut stream).is_none() {
        return;
    }
    if !enter(log) {
        let refusal = "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nContent-Length: 0\r\n";
        let _ = write!(stream, "{refusal}x-refusal-limit: {REFUSAL_LIMIT}\r\n\r\n");
        return;
    }
    while !begin(log) {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(RUN_TIME);
    log.lock().unwrap().running -= 1;
    let answer = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 1\r\n";
    let _ = write!(stream, "{answer}x-refusal-limit: {REFUSAL_LIMIT}\r\n\r\na");
}

/// Returns whether there is room for a request. The endpoint ends if it refuses too many.
fn enter(log: &Mutex<EndpointLog>) -> bool {
    let mut log = log.lock().unwrap();
    let now = Instant::now();
    if log.down_until.is_some_and(|until| now < until) {
        return false;
    }
    if log.running + log.waiting < SLOTS + QUEUE {
        log.waiting += 1;
        return true;
    }
    log.refusals.retain(|refused| now < *refused + SECOND);
    log.refusals.push(now);
    if log.refusals.len() > REFUSAL_LIMIT {
        log.ends += 1;
        log.refusals.clear();
        log.down_until = Some(now + RESTART_TIME);
    }
    false
}

fn begin(log: &Mutex<EndpointLog>) -> bool {
    let mut log = log.lock().unwrap();
    let is_free = log.running < SLOTS;
    if is_free {
        log.running += 1;
        log.waiting -= 1;
    }
    is_free
}

/// The ends that the users allow: two and a tenth of the endpoints.
const MAX_ENDS: usize = 2;

/// Issue 34, LIMIT: several instances send twice what three endpoints can take.
#[test]
fn endpoints_that_end_when_they_refuse_too_many_requests_are_spared() {
    let endpoints: Vec<FragileEndpoint> = (0..3).map(|_| FragileEndpoint::start()).collect();
    let addrs: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    let fleet = Fleet::new(&route(RetrySafety::NonIdempotent), &vec![addrs; 4]);
    for instance in &fleet.instances {
        instance.list_slots(SLOTS as u32);
    }
    // The endpoints take 300 requests a second.
    let interval = Duration::from_micros(1_700);
    let mut answered = 0;
    let playing = async {
        let mut calls = Vec::new();
        for number in 0..1_800 {
            Timer::after(interval).await;
            if number % 30 == 0 {
                fleet.exchange_loads();
            }
            let pipeline = fleet.instances[number % 4].pipeline.clone();
            calls.push(fleet.executor.spawn(async move {
                let response = pipeline.handle(request("/x/1", &[])).await;
                read(response).await.status
            }));
        }
        for call in calls {
            answered += usize::from(call.await == 200);
        }
    };
    async_io::block_on(fleet.executor.run(playing));
    let ends: usize = endpoints.iter().map(FragileEndpoint::ends).sum();
    println!("{ends} ends, {answered} answered");
    assert!(ends <= MAX_ENDS, "{ends} ends, {answered} answered");
    assert!(answered >= 600, "{answered} answered");
}
