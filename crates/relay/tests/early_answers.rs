//! Bytes that are there before the request is written: they are no answer to it.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::write;
use futures_lite::future::{ready, zip};
use relay::{Exchange, ExchangeError, ResponseHead};

/// Time for which the client does not run between the connect and its first write.
const CLIENT_PAUSE: Duration = Duration::from_millis(30);

/// Time that an endpoint waits for a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nContent-Length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";

/// Starts an endpoint that writes bytes to a connection at once, and reports what it reads from it.
fn start_early_endpoint(early: &'static str) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, received) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        write(&mut stream, early);
        sender.send(read_request(&mut stream)).unwrap();
    });
    (addr, received)
}

fn read_request(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    let mut block = [0; 1024];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut block) {
            Ok(count @ 1..) => bytes.extend_from_slice(&block[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request to an endpoint whose bytes arrive between the connect and the first write.
fn exchange(addr: SocketAddr) -> Result<ResponseHead, ExchangeError> {
    let deadline = Instant::now() + Duration::from_secs(2);
    let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let body = Bytes::new();
    let started = Exchange::start(addr, deadline, deadline, "GET", head, &body);
    // Runs once the connect has begun, and keeps the thread from what follows.
    let pause = async {
        std::thread::sleep(CLIENT_PAUSE);
        ready(()).await;
    };
    let (started, ()) = async_io::block_on(zip(started, pause));
    started.map(|(_, head)| head)
}

/// Guards against a refusal that is taken for the answer to a request that the endpoint then runs.
#[test]
fn bytes_that_precede_a_request_are_not_its_answer() {
    let cases = [
        ("a refusal", REFUSAL),
        ("an answer", ANSWER),
        (
            "an interim answer and a refusal",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\n\r\n",
        ),
        ("a part of a head", "HTTP/1.1 503 Fu"),
        ("no head", "rubbish\r\n\r\n"),
    ];
    let mut faults = Vec::new();
    for (name, early) in cases {
        let (addr, received) = start_early_endpoint(early);
        let result = exchange(addr);
        let request = received.recv().unwrap();
        let is_known_unsent = result.as_ref().is_err_and(|err| !err.sent);
        if !is_known_unsent || !request.is_empty() {
            faults.push(format!("{name}: {result:?}, the endpoint read {request:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Starts an endpoint that ends a connection at once.
fn start_closing_endpoint(resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        if resets {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    addr
}

/// Guards against a failure of a request that no endpoint can have seen, such as at a limit on connections.
#[test]
fn a_connection_that_ends_before_the_request_is_written_did_not_get_it() {
    for resets in [false, true] {
        let err = exchange(start_closing_endpoint(resets)).unwrap_err();
        assert!(!err.sent, "resets: {resets}: {err}");
    }
}

#[test]
fn an_answer_that_follows_the_request_is_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let request = read_request(&mut stream);
        write(&mut stream, REFUSAL);
        request
    });
    assert_eq!(exchange(addr).unwrap().status, 503);
    assert!(thread.join().unwrap().ends_with("\r\n\r\n"));
}
