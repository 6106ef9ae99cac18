//! Refusals that an endpoint writes before it is sent a request, which it then runs.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use common::cuts::{BodyEnd, Responder, SEALED, WholeAnswer, event_text, resumed_stream};
use common::{Harness, Received, listen, read_head, route};
use futures_lite::future::zip;
use route::RetrySafety;

/// Longest time for which the instance does not run between the connect and its first write.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Time that an endpoint waits for a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

const EARLY: [(&str, &str); 3] = [
    (
        "a refusal",
        "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "a refusal without a body's length",
        "HTTP/1.1 429 Full\r\nx-not-started: 1\r\n\r\n",
    ),
    (
        "misdirected",
        "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
    ),
];

const RETRY_SAFETIES: [RetrySafety; 2] =
    [RetrySafety::NonIdempotent, RetrySafety::NonIdempotentStream];

/// An endpoint that writes bytes at once, and then runs what it is sent.
struct EarlyEndpoint {
    addr: SocketAddr,
    runs: Arc<AtomicUsize>,
    /// Tells of each connection to which the bytes were written.
    written: Receiver<()>,
}

impl EarlyEndpoint {
    fn start(early: &'static str) -> EarlyEndpoint {
        let runs: Arc<AtomicUsize> = Arc::default();
        let counted = runs.clone();
        let (sender, written) = channel();
        let addr = listen(move |mut stream| {
            stream.write_all(early.as_bytes()).unwrap();
            // Only the first connection is waited for.
            let _ = sender.send(());
            stream.set_read_timeout(Some(REQUEST_TIMEOUT)).unwrap();
            if read_head(&mut stream).is_some() {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        });
        EarlyEndpoint {
            addr,
            runs,
            written,
        }
    }

    /// Returns the number of requests that were run, once none can follow.
    fn runs(&self) -> usize {
        std::thread::sleep(REQUEST_TIMEOUT);
        self.runs.load(Ordering::SeqCst)
    }
}

/// Sends a request, to this endpoint first, that is written once the early bytes have arrived.
fn send(retry_safety: RetrySafety, first: &EarlyEndpoint, others: &[SocketAddr]) -> Received {
    let endpoints = [&[first.addr], others].concat();
    let harness = Harness::new(route(retry_safety), &endpoints, 10.0);
    // Runs once the connect has begun, and keeps the thread from what follows.
    let pause = async { first.written.recv_timeout(MAX_PAUSE).unwrap() };
    let (received, ()) = async_io::block_on(zip(harness.send_async(&[]), pause));
    received
}

/// Guards against a request that runs twice, as an earlier refusal was taken for its own.
#[test]
fn a_refusal_that_precedes_a_request_does_not_let_it_run_twice() {
    let mut faults = Vec::new();
    for retry_safety in RETRY_SAFETIES {
        for (name, early) in EARLY {
            let first = EarlyEndpoint::start(early);
            let whole = WholeAnswer::new(SEALED, BodyEnd::Length, &["second"]).bytes;
            let second = Responder::start(move |head| match retry_safety {
                RetrySafety::NonIdempotent => whole.clone(),
                _ => resumed_stream(head, 3),
            });
            let received = send(retry_safety, &first, &[second.addr]);
            let runs = [first.runs(), second.take_heads().len()];
            let body = match retry_safety {
                RetrySafety::NonIdempotent => "second".to_owned(),
                _ => event_text(1..=3),
            };
            let is_answered = received.is_complete && received.body == body;
            if runs != [0, 1] || !is_answered {
                let case = format!("{retry_safety:?}, {name}");
                faults.push(format!("{case}: runs {runs:?}, received {received:?}"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against "not run" for a request that the only endpoint runs.
#[test]
fn a_refusal_that_precedes_a_request_does_not_tell_that_it_was_not_run() {
    let mut faults = Vec::new();
    for retry_safety in RETRY_SAFETIES {
        for (name, early) in EARLY {
            let only = EarlyEndpoint::start(early);
            let received = send(retry_safety, &only, &[]);
            let runs = only.runs();
            let is_told_not_run = received.verdict.as_deref() == Some("not-run");
            if runs > 1 || (runs == 1 && is_told_not_run) {
                let case = format!("{retry_safety:?}, {name}");
                faults.push(format!("{case}: runs {runs}, received {received:?}"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
