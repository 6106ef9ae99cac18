//! The bounds of a server on its connections and on the memory that they hold.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Response;
use smol::Executor;
use web::{BoxFuture, Capacity, Handler, IncomingRequest, Limits, Server};

struct BodyReader;

impl Handler for BodyReader {
    fn handle(&self, mut incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            let body = incoming.read_body().await;
            body.map_or_else(
                |failure| web::error_response(&failure),
                |_| Response::new(200),
            )
        })
    }
}

/// Starts a server for two connections and about 64 KiB in bodies.
fn serve() -> (SocketAddr, Arc<Capacity>) {
    let executor = Arc::new(Executor::new());
    let limits = Limits::default()
        .max_connections(2)
        .max_held_bytes(96 << 10);
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Arc::new(BodyReader), limits).unwrap();
    let bound = (server.local_addr().unwrap(), server.capacity());
    let running = executor.clone();
    std::thread::spawn(move || smol::block_on(running.run(server.run(running.clone()))));
    bound
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    stream
}

/// Sends a request with a body of which this many bytes are missing.
fn post(addr: SocketAddr, length: usize, missing_bytes: usize) -> TcpStream {
    let mut stream = connect(addr);
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    // The server may close the connection.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'x'; length - missing_bytes]);
    stream
}

fn response(mut stream: TcpStream) -> String {
    let mut read = Vec::new();
    let _ = stream.read_to_end(&mut read);
    String::from_utf8_lossy(&read).into_owned()
}

fn wait_for(holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < end, "timed out");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against idle connections that shut out callers, and against requests that are dropped without a response.
#[test]
fn idle_connections_give_way_and_busy_ones_do_not() {
    let (addr, capacity) = serve();
    let idle = [connect(addr), connect(addr)];
    assert!(response(post(addr, 10, 0)).starts_with("HTTP/1.1 200"));
    drop(idle);
    wait_for(|| capacity.held_bytes() == 0);
    let busy = [post(addr, 10, 1), post(addr, 10, 1)];
    wait_for(|| capacity.held_bytes() > 32 << 10);
    let refusal = response(connect(addr));
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("x-rosemary-verdict: not-run"), "{refusal}");
    drop(busy);
}

/// Guards against bodies that exceed the memory, and against memory that is held for connections that are gone.
#[test]
fn a_body_that_does_not_fit_is_refused_and_nothing_stays_held() {
    let (addr, capacity) = serve();
    let first = post(addr, 60 << 10, 1);
    wait_for(|| capacity.held_bytes() > 72 << 10);
    let refusal = response(post(addr, 60 << 10, 0));
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("x-rosemary-verdict: not-run"), "{refusal}");
    drop(first);
    wait_for(|| capacity.held_bytes() == 0);
    assert!(response(post(addr, 60 << 10, 0)).starts_with("HTTP/1.1 200"));
}
