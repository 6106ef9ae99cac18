//! Bytes that are there before the request is written: they are no answer to it.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{read_until, write};
use futures_lite::future::zip;
use relay::{Exchange, ExchangeError, ResponseHead, Socket};

/// Longest time for which the client does not run between the connect and its first write.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Time that an endpoint waits for a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nContent-Length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";

/// An endpoint that acts on a connection before it is sent a request.
struct EarlyEndpoint {
    addr: SocketAddr,
    /// Tells that the endpoint has acted.
    acted: Receiver<()>,
    /// What the endpoint reads after that.
    request: Receiver<String>,
}

impl EarlyEndpoint {
    fn start(act: impl FnOnce(TcpStream) -> Option<TcpStream> + Send + 'static) -> EarlyEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (acted_sender, acted) = channel();
        let (request_sender, request) = channel();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().unwrap();
            let open = act(stream);
            acted_sender.send(()).unwrap();
            if let Some(mut stream) = open {
                request_sender.send(read_request(&mut stream)).unwrap();
            }
        });
        EarlyEndpoint {
            addr,
            acted,
            request,
        }
    }

    /// Sends a request that is written once the endpoint has acted.
    fn exchange(&self) -> Result<ResponseHead, ExchangeError> {
        // Runs once the connect has begun, and keeps the thread from what follows.
        let pause = async { self.acted.recv_timeout(MAX_PAUSE).unwrap() };
        let (started, ()) = async_io::block_on(zip(exchange(self.addr), pause));
        started
    }
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

async fn exchange(addr: SocketAddr) -> Result<ResponseHead, ExchangeError> {
    let deadline = Instant::now() + MAX_PAUSE;
    let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let body = Bytes::new();
    let started = Exchange::start(addr, deadline, deadline, "GET", head, &body);
    started.await.map(|(_, head)| head)
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
        let endpoint = EarlyEndpoint::start(move |mut stream| {
            write(&mut stream, early);
            Some(stream)
        });
        let result = endpoint.exchange();
        let request = endpoint.request.recv().unwrap();
        let is_known_unsent = result.as_ref().is_err_and(|err| !err.sent);
        if !is_known_unsent || !request.is_empty() {
            faults.push(format!("{name}: {result:?}, the endpoint read {request:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a failure of a request that no endpoint can have seen, such as at a limit on connections.
#[test]
fn a_connection_that_ends_before_the_request_is_written_did_not_get_it() {
    for resets in [false, true] {
        let endpoint = EarlyEndpoint::start(move |stream| {
            if resets {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
            None
        });
        let err = endpoint.exchange().unwrap_err();
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
    assert_eq!(async_io::block_on(exchange(addr)).unwrap().status, 503);
    assert!(thread.join().unwrap().ends_with("\r\n\r\n"));
}

/// Guards against a part of an answer that looks whole: the failure of a write takes the error of the
/// connection, so that a read after it would see a plain end.
#[test]
fn an_answer_whose_connection_is_reset_during_the_upload_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, has_reset) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_until(&mut stream, "\r\n\r\n");
        write(&mut stream, "HTTP/1.1 200 OK\r\n\r\npart");
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        sender.send(()).unwrap();
    });
    let head = b"POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n";
    let body = Bytes::from(vec![b'u'; 16 << 20]);
    let deadline = Instant::now() + MAX_PAUSE;
    let result = async_io::block_on(async {
        let socket = Socket::connect(addr, deadline).await.unwrap();
        let upload = async {
            let started = Exchange::start_on(socket, deadline, "POST", head, &body).await;
            let (mut exchange, _) = started.map_err(|err| err.to_string())?;
            let read = exchange.read_to_end(1 << 20).await;
            read.map_err(|err| err.to_string())
        };
        // Runs once the buffers are full, so that the answer and the reset are there before the next write.
        let pause = async { has_reset.recv_timeout(MAX_PAUSE).unwrap() };
        zip(upload, pause).await.0
    });
    assert!(result.is_err(), "{result:?}");
}
