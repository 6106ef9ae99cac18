//! A sound endpoint that is silent for a second and goes on loses nothing for long.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use common::fleet::Fleet;
use common::{
    Harness, ScriptedEndpoint, Step, events, ids, listen, read, read_head, request, route,
    stream_end, stream_head,
};
use relay::Handler;
use route::RetrySafety;

/// How long a sound endpoint may be silent.
const SILENCE: Duration = Duration::from_millis(1_100);

/// Time after its silence in which an endpoint gets requests again.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// An endpoint that answers at once unless it is silent.
struct SilentEndpoint {
    addr: SocketAddr,
    is_silent: Arc<AtomicBool>,
    requests: Arc<AtomicUsize>,
}

impl SilentEndpoint {
    fn start() -> SilentEndpoint {
        let is_silent: Arc<AtomicBool> = Arc::default();
        let requests: Arc<AtomicUsize> = Arc::default();
        let shared = (is_silent.clone(), requests.clone());
        let addr = listen(move |stream| {
            let (is_silent, requests) = &shared;
            requests.fetch_add(1, Ordering::SeqCst);
            answer(stream, is_silent);
        });
        SilentEndpoint {
            addr,
            is_silent,
            requests,
        }
    }
}

fn answer(mut stream: TcpStream, is_silent: &AtomicBool) {
    if read_head(&mut stream).is_none() {
        return;
    }
    while is_silent.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(2));
    }
    let answer = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 1\r\n\r\na";
    // The caller may have gone elsewhere.
    let _ = stream.write_all(answer.as_bytes());
}

/// Sends a request every 20 ms for a while and returns how many were not answered.
fn send_for(fleet: &Fleet, time: Duration) -> usize {
    let began = Instant::now();
    let sending = async {
        let mut calls = Vec::new();
        while began.elapsed() < time {
            Timer::after(Duration::from_millis(20)).await;
            let pipeline = fleet.instances[0].pipeline.clone();
            calls.push(fleet.executor.spawn(async move {
                let response = pipeline.handle(request("/x/1", &[])).await;
                read(response).await.status
            }));
        }
        let mut failed = 0;
        for call in calls {
            failed += usize::from(call.await != 200);
        }
        failed
    };
    async_io::block_on(fleet.executor.run(sending))
}

#[test]
fn plain_requests_return_to_an_endpoint_that_was_silent_for_a_second() {
    let endpoints = [SilentEndpoint::start(), SilentEndpoint::start()];
    let addrs = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    let fleet = Fleet::new(&route(RetrySafety::Idempotent), &[addrs]);
    assert_eq!(send_for(&fleet, Duration::from_millis(300)), 0);
    let silent = &endpoints[0];
    silent.is_silent.store(true, Ordering::SeqCst);
    assert_eq!(send_for(&fleet, SILENCE), 0);
    silent.is_silent.store(false, Ordering::SeqCst);
    let before = silent.requests.load(Ordering::SeqCst);
    assert_eq!(send_for(&fleet, RETURN_TIME), 0);
    let after = silent.requests.load(Ordering::SeqCst);
    assert!(after > before + 10, "{before} requests, then {after}");
}

#[test]
fn a_stream_stays_at_an_endpoint_that_is_silent_for_a_second() {
    let silent = ScriptedEndpoint::start(vec![vec![
        stream_head(90),
        events(1..=2),
        Step::Sleep(SILENCE.as_millis() as u64),
        events(3..=4),
        stream_end(),
    ]]);
    let other = ScriptedEndpoint::start(vec![vec![stream_head(90), stream_end()]]);
    let harness = Harness::new(
        route(RetrySafety::ResumableStream),
        &[silent.addr, other.addr],
        10.0,
    );
    let received = harness.send(&[]);
    assert_eq!(ids(&received.body), [1, 2, 3, 4]);
    assert!(received.is_complete);
    assert_eq!(other.request_count(), 0);
}
