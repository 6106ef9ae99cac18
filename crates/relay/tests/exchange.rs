//! Answers are whole or known to be cut.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{far_end, read_until, write};
use relay::Exchange;

/// What becomes of an answer that a far end writes before it closes.
fn exchange(answer: &'static str, reset: bool) -> Result<(u16, String), String> {
    let (addr, thread) = far_end(move |mut stream: TcpStream| {
        read_until(&mut stream, "\r\n\r\n");
        write(&mut stream, answer);
        if reset {
            // Let the bytes arrive before the reset overtakes them.
            std::thread::sleep(Duration::from_millis(50));
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let result = async_io::block_on(async {
        let until = Instant::now() + Duration::from_secs(5);
        let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        let started = Exchange::start(addr, until, until, "GET", head, &Bytes::new()).await;
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
fn whole_answers_are_told_from_cut_ones() {
    let whole = |body: &str| Ok((200, body.to_owned()));
    let cases = [
        (
            "length",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            false,
            whole("abc"),
        ),
        (
            "extra bytes",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1",
            false,
            whole("abc"),
        ),
        (
            "chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            false,
            whole("abc"),
        ),
        (
            "until close",
            "HTTP/1.1 200 OK\r\n\r\nabc",
            false,
            whole("abc"),
        ),
        (
            "interim first",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
            false,
            whole("a"),
        ),
    ];
    for (name, answer, reset, expected) in cases {
        assert_eq!(exchange(answer, reset), expected, "{name}");
    }
    let cut = [
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
        ("reset is no end", "HTTP/1.1 200 OK\r\n\r\nabc", true),
        ("no answer", "", false),
        ("no head", "rubbish\r\n\r\n", false),
        (
            "bad chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
            false,
        ),
    ];
    for (name, answer, reset) in cut {
        assert!(exchange(answer, reset).is_err(), "{name}");
    }
}

#[test]
fn a_refused_connection_has_sent_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let until = Instant::now() + Duration::from_secs(2);
    let body = Bytes::new();
    let head = b"GET / HTTP/1.1\r\n\r\n";
    let started = Exchange::start(addr, until, until, "GET", head, &body);
    assert!(!async_io::block_on(started).unwrap_err().sent);
}

#[test]
fn an_early_answer_is_read_while_the_body_is_on_its_way() {
    let (addr, thread) = far_end(|mut stream: TcpStream| {
        read_until(&mut stream, "\r\n\r\n");
        write(
            &mut stream,
            "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
        );
        // The rest of the body is never read.
        std::thread::sleep(Duration::from_millis(300));
    });
    let body = Bytes::from(vec![b'x'; 8 << 20]);
    let until = Instant::now() + Duration::from_secs(5);
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let started = Exchange::start(addr, until, until, "POST", head.as_bytes(), &body);
    let (_, head) = async_io::block_on(started).unwrap();
    assert_eq!(head.status, 413);
    thread.join().unwrap();
}
