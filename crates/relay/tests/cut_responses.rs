//! Responses that are cut at any byte, and chunk sizes that are none: neither is a complete response.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::read_until;
use relay::Exchange;

/// How the peer ends the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    Fin,
    Reset,
}

/// How far a response is read.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    /// The head is incomplete; the request may have arrived.
    NoHead,
    /// The body is incomplete or malformed.
    NoBody,
    Whole(String),
}

/// A peer that writes these bytes to each connection and ends it.
struct Peer {
    addr: SocketAddr,
    answer: Arc<Mutex<(Vec<u8>, Close)>>,
}

impl Peer {
    fn start() -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let answer = Arc::new(Mutex::new((Vec::new(), Close::Fin)));
        let shared = answer.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (bytes, close) = shared.lock().unwrap().clone();
                answer_once(stream.unwrap(), &bytes, close);
            }
        });
        Peer { addr, answer }
    }

    fn exchange(&self, bytes: &[u8], close: Close) -> Outcome {
        *self.answer.lock().unwrap() = (bytes.to_vec(), close);
        let deadline = Instant::now() + Duration::from_secs(2);
        let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        let body = Bytes::new();
        async_io::block_on(async {
            let started = Exchange::start(self.addr, deadline, deadline, "GET", head, &body);
            let mut exchange = match started.await {
                Ok((exchange, _)) => exchange,
                Err(err) => {
                    assert!(err.sent, "{err}");
                    return Outcome::NoHead;
                }
            };
            match exchange.read_to_end(1 << 20).await {
                Ok(body) => Outcome::Whole(String::from_utf8_lossy(&body).into_owned()),
                Err(_) => Outcome::NoBody,
            }
        })
    }
}

fn answer_once(mut stream: TcpStream, bytes: &[u8], close: Close) {
    read_until(&mut stream, "\r\n\r\n");
    if stream.write_all(bytes).is_ok() && close == Close::Reset {
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Fails with a summary if there are any faults.
fn assert_none(faults: &[String]) {
    let first: Vec<&String> = faults.iter().take(8).collect();
    assert!(faults.is_empty(), "{} cases: {first:#?}", faults.len());
}

#[test]
fn a_response_that_is_cut_at_any_byte_is_not_whole() {
    let framed = [
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4;x=y\r\ncdef\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\nx-trailer: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef",
    ];
    let peer = Peer::start();
    let mut faults = Vec::new();
    for response in framed {
        let last_head = response.find("HTTP/1.1 200").unwrap();
        let head_bytes = last_head + response[last_head..].find("\r\n\r\n").unwrap() + 4;
        for cut in 0..=response.len() {
            for close in [Close::Fin, Close::Reset] {
                let expected = match cut {
                    cut if cut < head_bytes => Outcome::NoHead,
                    cut if cut < response.len() => Outcome::NoBody,
                    _ => Outcome::Whole("abcdef".to_owned()),
                };
                let found = peer.exchange(&response.as_bytes()[..cut], close);
                if found != expected {
                    let sent = &response[..cut];
                    faults.push(format!("{sent:?}, {close:?}: {found:?}, not {expected:?}"));
                }
            }
        }
    }
    assert_none(&faults);
}

#[test]
fn a_body_without_framing_is_whole_only_if_its_connection_is_closed() {
    let response = "HTTP/1.1 200 OK\r\n\r\nabcdef";
    let head_bytes = response.find("\r\n\r\n").unwrap() + 4;
    let peer = Peer::start();
    for cut in head_bytes..=response.len() {
        let bytes = &response.as_bytes()[..cut];
        let body = response[head_bytes..cut].to_owned();
        assert_eq!(peer.exchange(bytes, Close::Fin), Outcome::Whole(body));
        assert_eq!(peer.exchange(bytes, Close::Reset), Outcome::NoBody);
    }
}

/// Guards against a line that is no chunk size and is taken for the last chunk.
#[test]
fn a_line_without_a_chunk_size_does_not_end_a_body() {
    let lines = [
        ("no size", ""),
        ("an extension without size", ";x=y"),
        ("a space", " "),
        ("a tab", "\t"),
        ("a sign", "-0"),
        ("a plus sign", "+0"),
        ("a prefix", "0x0"),
        ("no hexadecimal digit", "g"),
        ("too large a size", "10000000000000000"),
        ("an event", "id: 3"),
    ];
    let peer = Peer::start();
    let mut faults = Vec::new();
    for (name, line) in lines {
        for chunks in ["", "2\r\nab\r\n"] {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let response = format!("{head}{chunks}{line}\r\n\r\n");
            let found = peer.exchange(response.as_bytes(), Close::Fin);
            if found != Outcome::NoBody {
                faults.push(format!("{name} after {chunks:?}: {found:?}"));
            }
        }
    }
    assert_none(&faults);
}
