//! An error response reaches a caller that is still sending its body.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use http_types::Response;
use kernel::Failure;
use smol::Executor;
use web::{BoxFuture, Handler, IncomingRequest, Limits, Server};

/// Reads the request body and responds with an error if that fails.
struct BodyReader;

impl Handler for BodyReader {
    fn handle(&self, mut incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            let body = incoming.read_body().await;
            body.map_or_else(
                |failure: Failure| web::error_response(&failure),
                |_| Response::new(200),
            )
        })
    }
}

/// The server closed the connection while the body was still arriving, and the reset discarded the
/// response: once, on a loaded machine, `bad_input_is_refused_as_not_run` got a broken pipe instead
/// of status 413.
#[test]
fn caller_with_too_large_body_receives_the_error() {
    let executor = Arc::new(Executor::new());
    let limits = Limits::default().max_body_bytes(1_024);
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Arc::new(BodyReader), limits).unwrap();
    let addr = server.local_addr().unwrap();
    let running = executor.clone();
    std::thread::spawn(move || smol::block_on(running.run(server.run(running.clone()))));
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let length = 10 * 4_096;
    write!(
        stream,
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n"
    )
    .unwrap();
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(&[b'x'; 4_096]).unwrap();
    }
    let mut read = String::new();
    stream.read_to_string(&mut read).unwrap();
    assert!(read.starts_with("HTTP/1.1 413"), "{read}");
}
