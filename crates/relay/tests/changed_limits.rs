//! Limits that change while a connection is open.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use async_executor::LocalExecutor;
use common::{read_until, write};
use relay::{Handler, Limits, LocalFuture, Request, Response, Server};

/// Idle time of a connection at the start, and what it is raised to, in milliseconds.
const IDLE_MS: u64 = 300;
const RAISED_IDLE_MS: u64 = 5_000;

#[derive(Default)]
struct Changing {
    max_body_bytes: AtomicU64,
    idle_timeout_ms: AtomicU64,
}

struct Echo(Arc<Changing>);

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move { Response::new(200).body(request.body) })
    }

    fn limits(&self) -> Limits {
        Limits {
            max_body_bytes: self.0.max_body_bytes.load(Ordering::SeqCst),
            idle_timeout_ms: self.0.idle_timeout_ms.load(Ordering::SeqCst),
            ..Limits::default()
        }
    }
}

fn start(changing: &Arc<Changing>) -> SocketAddr {
    let (send, receive) = mpsc::channel();
    let changing = changing.clone();
    std::thread::spawn(move || {
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(any, Rc::new(Echo(changing)), Rc::default()).unwrap();
        send.send(server.local_addr().unwrap()).unwrap();
        let executor = Rc::new(LocalExecutor::new());
        async_io::block_on(executor.run(server.run(executor.clone())));
    });
    receive.recv().unwrap()
}

fn post(stream: &mut TcpStream, bytes: usize) -> String {
    let body = "x".repeat(bytes);
    let text = format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {bytes}\r\n\r\n{body}");
    write(stream, &text);
    read_until(stream, "\r\n\r\n")
}

/// Review of issue 59, DENIED: an open connection judged its next request by the limits that were in force
/// when it became idle.
#[test]
fn a_request_is_judged_by_the_limits_in_force_when_it_arrives() {
    for (before, after, status) in [(16, 64, 200), (64, 16, 413)] {
        let changing = Arc::new(Changing::default());
        changing.max_body_bytes.store(before, Ordering::SeqCst);
        changing
            .idle_timeout_ms
            .store(RAISED_IDLE_MS, Ordering::SeqCst);
        let mut stream = TcpStream::connect(start(&changing)).unwrap();
        assert!(post(&mut stream, 0).starts_with("HTTP/1.1 200"));
        std::thread::sleep(Duration::from_millis(50));
        changing.max_body_bytes.store(after, Ordering::SeqCst);
        let head = post(&mut stream, 32);
        assert!(
            head.starts_with(&format!("HTTP/1.1 {status}")),
            "{before} to {after}: {head}"
        );
    }
}

/// Guards against closing a connection whose idle time was raised meanwhile.
#[test]
fn a_connection_stays_open_for_an_idle_time_that_is_raised() {
    let changing = Arc::new(Changing::default());
    changing.max_body_bytes.store(64, Ordering::SeqCst);
    changing.idle_timeout_ms.store(IDLE_MS, Ordering::SeqCst);
    let mut stream = TcpStream::connect(start(&changing)).unwrap();
    assert!(post(&mut stream, 0).starts_with("HTTP/1.1 200"));
    std::thread::sleep(Duration::from_millis(IDLE_MS / 3));
    changing
        .idle_timeout_ms
        .store(RAISED_IDLE_MS, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(2 * IDLE_MS));
    assert!(post(&mut stream, 32).starts_with("HTTP/1.1 200"));
}
