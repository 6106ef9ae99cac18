//! The server side: limits, pipelining, callers that disconnect, responses that fail midway.

mod common;

use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use async_executor::LocalExecutor;
use bytes::Bytes;
use common::{read_until, write};
use relay::{
    Body, BodyError, BodyStream, DrainState, Handler, Limits, LocalFuture, Request, Response,
    Server,
};

/// Responds according to the request path.
#[derive(Default)]
struct ByPath {
    dropped: Rc<Cell<u32>>,
}

struct CountDrop(Rc<Cell<u32>>);

impl Drop for CountDrop {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

struct FailsAfterTwo(u32);

impl BodyStream for FailsAfterTwo {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, BodyError>> {
        self.0 += 1;
        let error = BodyError {
            message: "upstream failed".to_owned(),
        };
        let item = if self.0 > 2 {
            Err(error)
        } else {
            Ok(Some("ab".into()))
        };
        Box::pin(async move { item })
    }
}

impl Handler for ByPath {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        let guard = CountDrop(self.dropped.clone());
        Box::pin(async move {
            let response = match request.head.path() {
                "/echo" => Response::new(200).body(request.body),
                "/dropped" => Response::new(200).body(format!("{} dropped", self.dropped.get())),
                "/hang" => std::future::pending().await,
                "/breaks" => {
                    let mut response = Response::new(200);
                    response.body = Body::Stream(Box::new(FailsAfterTwo(0)));
                    response
                }
                _ => Response::new(404),
            };
            drop(guard);
            response
        })
    }

    fn limits(&self) -> Limits {
        Limits {
            max_head_bytes: 512,
            max_body_bytes: 16,
            receive_timeout_ms: 300,
            idle_timeout_ms: 2_000,
            ..Limits::default()
        }
    }
}

fn serve() -> SocketAddr {
    let (ready, addr) = mpsc::channel();
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(
            any,
            Rc::new(ByPath::default()),
            Rc::new(DrainState::default()),
        )
        .unwrap();
        ready.send(server.local_addr().unwrap()).unwrap();
        async_io::block_on(executor.run(server.run(executor.clone())));
    });
    addr.recv().unwrap()
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

/// Sends `text` and returns the status line of the response.
fn status_line(addr: SocketAddr, text: &str) -> String {
    let mut stream = connect(addr);
    write(&mut stream, text);
    let read = read_until(&mut stream, "\r\n");
    read.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn malformed_and_oversized_requests_are_rejected() {
    let addr = serve();
    let long = "x".repeat(600);
    let cases = [
        ("malformed head", "GARBAGE\r\n\r\n".to_owned(), "400"),
        ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned(), "400"),
        ("two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".to_owned(), "400"),
        ("smuggling", "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(), "400"),
        ("head too large", format!("GET /{long} HTTP/1.1\r\nHost: a\r\n\r\n"), "431"),
        ("declared length too large", "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 17\r\n\r\n".to_owned(), "413"),
        ("chunked body too large", "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n12345678901234567\r\n0\r\n\r\n".to_owned(), "413"),
        ("a chunk without size", "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n\r\n\r\n".to_owned(), "400"),
        ("too slow", "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab".to_owned(), "408"),
        ("valid", "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd".to_owned(), "200"),
    ];
    for (name, text, status) in cases {
        let line = status_line(addr, &text);
        assert!(
            line.starts_with(&format!("HTTP/1.1 {status} ")),
            "{name}: {line}"
        );
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let addr = serve();
    let mut stream = connect(addr);
    let one = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n";
    write(
        &mut stream,
        &format!("{one}a{one}bGET /none HTTP/1.1\r\nHost: a\r\n\r\n"),
    );
    let read = read_until(&mut stream, "404");
    let first = read.find("\r\n\r\na").unwrap();
    let second = read.find("\r\n\r\nb").unwrap();
    assert!(first < second, "{read}");
}

#[test]
fn a_disconnect_cancels_the_request() {
    let addr = serve();
    let mut stream = connect(addr);
    write(&mut stream, "GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
    std::thread::sleep(Duration::from_millis(100));
    drop(stream);
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = connect(addr);
    write(&mut stream, "GET /dropped HTTP/1.1\r\nHost: a\r\n\r\n");
    let read = read_until(&mut stream, "dropped");
    assert!(read.contains("1 dropped"), "{read}");
}

#[test]
fn a_failed_stream_has_no_last_chunk() {
    let addr = serve();
    let mut stream = connect(addr);
    write(&mut stream, "GET /breaks HTTP/1.1\r\nHost: a\r\n\r\n");
    let read = read_until(&mut stream, "never comes");
    assert!(!read.ends_with("0\r\n\r\n"), "{read}");
}
