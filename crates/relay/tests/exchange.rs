//! The client side: truncated responses are detected, and early responses are read.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{read_until, scripted_peer, write};
use relay::Exchange;

/// Returns the outcome of an exchange whose peer writes `response` and then closes or resets.
fn exchange(response: &'static str, reset: bool) -> Result<(u16, String), String> {
    let (addr, thread) = scripted_peer(move |mut stream: TcpStream| {
        read_until(&mut stream, "\r\n\r\n");
        write(&mut stream, response);
        if reset {
            // Without this delay the reset could discard the response.
            std::thread::sleep(Duration::from_millis(50));
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let result = async_io::block_on(async {
        let deadline = Instant::now() + Duration::from_secs(5);
        let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        let started = Exchange::start(addr, deadline, deadline, "GET", head, &Bytes::new()).await;
        let (mut exchange, head) = started.map_err(|err| err.to_string())?;
        let body = exchange
            .read_to_end(1 << 20)
            .await
            .map_err(|err| err.to_string())?;
        assert!(exchange.is_complete());
        Ok((head.status, String::from_utf8_lossy(&body).into_owned()))
    });
    thread.join().unwrap();
    result
}

#[test]
fn truncated_responses_are_detected() {
    let complete = |body: &str| Ok((200, body.to_owned()));
    let cases = [
        (
            "length",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            false,
            complete("abc"),
        ),
        (
            "extra bytes",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1",
            false,
            complete("abc"),
        ),
        (
            "chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            false,
            complete("abc"),
        ),
        (
            "until close",
            "HTTP/1.1 200 OK\r\n\r\nabc",
            false,
            complete("abc"),
        ),
        (
            "interim response first",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
            false,
            complete("a"),
        ),
    ];
    for (name, response, reset, expected) in cases {
        assert_eq!(exchange(response, reset), expected, "{name}");
    }
    let failing = [
        (
            "short",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
            false,
        ),
        (
            "no last chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            false,
        ),
        ("reset instead of close", "HTTP/1.1 200 OK\r\n\r\nabc", true),
        ("no response", "", false),
        ("malformed head", "rubbish\r\n\r\n", false),
        (
            "bad chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
            false,
        ),
    ];
    for (name, response, reset) in failing {
        assert!(exchange(response, reset).is_err(), "{name}");
    }
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let deadline = Instant::now() + Duration::from_secs(2);
    let body = Bytes::new();
    let head = b"GET / HTTP/1.1\r\n\r\n";
    let started = Exchange::start(addr, deadline, deadline, "GET", head, &body);
    assert!(!async_io::block_on(started).unwrap_err().sent);
}

#[test]
fn an_early_response_is_read_while_the_body_is_being_sent() {
    let (addr, thread) = scripted_peer(|mut stream: TcpStream| {
        read_until(&mut stream, "\r\n\r\n");
        write(
            &mut stream,
            "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
        );
        // The rest of the body is never read.
        std::thread::sleep(Duration::from_millis(300));
    });
    let body = Bytes::from(vec![b'x'; 8 << 20]);
    let deadline = Instant::now() + Duration::from_secs(5);
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let started = Exchange::start(addr, deadline, deadline, "POST", head.as_bytes(), &body);
    let (_, head) = async_io::block_on(started).unwrap();
    assert_eq!(head.status, 413);
    thread.join().unwrap();
}

/// Bytes that an endpoint may send in vain before its connection is closed: those in the buffers of
/// the sockets included.
const MAX_ENDLESS_BYTES: u64 = 16 << 20;

/// Sends `head` and then `endless` until the connection is closed, and returns the number of bytes
/// that it took and the error of the exchange.
fn endless(head: &'static str, endless: &'static str) -> (u64, String) {
    let (sender, sent) = std::sync::mpsc::channel();
    let (addr, thread) = scripted_peer(move |mut stream: TcpStream| {
        read_until(&mut stream, "\r\n\r\n");
        write(&mut stream, head);
        let block = endless.repeat((64 << 10) / endless.len() + 1);
        let mut bytes = 0;
        while stream.write_all(block.as_bytes()).is_ok() {
            bytes += block.len() as u64;
            if bytes > 4 * MAX_ENDLESS_BYTES {
                break;
            }
        }
        sender.send(bytes).unwrap();
    });
    let error = async_io::block_on(async {
        let deadline = Instant::now() + Duration::from_secs(5);
        let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        let started = Exchange::start(addr, deadline, deadline, "GET", head, &Bytes::new()).await;
        let (mut exchange, _) = match started {
            Ok(started) => started,
            Err(err) => return err.to_string(),
        };
        match exchange.read_to_end(1 << 20).await {
            Ok(body) => format!("{} bytes were taken for a body", body.len()),
            Err(err) => err.to_string(),
        }
    });
    thread.join().unwrap();
    (sent.recv().unwrap(), error)
}

/// Issue 29: bytes that are no answer may come without end until the caller closes.
#[test]
fn bytes_without_end_are_cut_off() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("no head", "", "x"),
        ("a head line", "HTTP/1.1 200 OK\r\nx-long: ", "x"),
        ("headers", "HTTP/1.1 200 OK\r\n", "x-more: y\r\n"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("a body", "HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("a chunk size", chunked, "0"),
        ("chunks", chunked, "1\r\nx\r\n"),
        (
            "trailers",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "x-more: y\r\n",
        ),
    ];
    for (name, head, repeated) in cases {
        let (bytes, error) = endless(head, repeated);
        assert!(bytes <= MAX_ENDLESS_BYTES, "{name}: {bytes} bytes, {error}");
        assert!(!error.contains("timed out"), "{name}: {error}");
        assert!(!error.contains("were taken"), "{name}: {error}");
    }
}
