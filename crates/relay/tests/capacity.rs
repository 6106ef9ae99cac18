//! The bounds of a process on its connections: memory and descriptors.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use common::{read_until, write};
use relay::{Capacity, Handler, Limits, LocalFuture, Origin, Purpose, Request, Response, Server};

const MEMORY_BYTES: u64 = 1 << 20;
const MAX_DESCRIPTORS: u64 = 64;

const LARGEST_BODY_BYTES: usize = 384 << 10;

struct Echo(Rc<Capacity>);

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match request.head.path() {
                "/echo" => Response::new(200).body(request.body),
                _ => {
                    let bytes = |purpose| self.0.memory().purpose_bytes(purpose);
                    // This request itself counts with the size that its response is expected to have.
                    assert!(bytes(Purpose::Responses) < LARGEST_BODY_BYTES as u64);
                    let connections = self.0.connections();
                    let bodies = bytes(Purpose::Bodies);
                    let others = bytes(Purpose::Connections) + bytes(Purpose::Input);
                    let text =
                        format!("{connections} open, {bodies} in bodies, {others} else, end");
                    Response::new(200).body(text)
                }
            }
        })
    }

    fn limits(&self) -> Limits {
        Limits {
            max_body_bytes: LARGEST_BODY_BYTES as u64,
            ..Limits::default()
        }
    }
}

/// Starts listeners for callers and for peers with one capacity.
fn serve() -> (SocketAddr, SocketAddr) {
    let (send, receive) = mpsc::channel();
    thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let capacity = Rc::new(Capacity::new(MEMORY_BYTES, MAX_DESCRIPTORS));
        let handler = Rc::new(Echo(capacity.clone()));
        for origin in [Origin::Callers, Origin::Internal] {
            let any = "127.0.0.1:0".parse().unwrap();
            let server = Server::bind(any, handler.clone(), Rc::default()).unwrap();
            let server = server.capacity(capacity.clone(), origin);
            send.send(server.local_addr().unwrap()).unwrap();
            executor.spawn(server.run(executor.clone())).detach();
        }
        async_io::block_on(executor.run(std::future::pending::<()>()));
    });
    (receive.recv().unwrap(), receive.recv().unwrap())
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

fn get(addr: SocketAddr) -> String {
    let mut stream = connect(addr);
    write(&mut stream, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    read_until(&mut stream, "end")
}

/// Sends the head of a request and all of its body but this many bytes.
fn post_without(addr: SocketAddr, missing_bytes: usize) -> TcpStream {
    let mut stream = connect(addr);
    let head =
        format!("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: {LARGEST_BODY_BYTES}\r\n\r\n");
    write(&mut stream, &head);
    // The connection may be closed meanwhile.
    let _ = stream.write_all(&vec![b'x'; LARGEST_BODY_BYTES - missing_bytes]);
    stream
}

/// Guards against memory that is held for connections that are gone or were dropped.
#[test]
fn nothing_is_held_once_connections_are_gone() {
    let (callers, internal) = serve();
    let held = get(callers);
    let unfinished: Vec<TcpStream> = (0..8).map(|_| post_without(callers, 1)).collect();
    let unread = post_without(callers, 0);
    thread::sleep(Duration::from_millis(200));
    drop((unfinished, unread));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(get(callers), held);
    assert!(held.contains("1 open, 0 in bodies"), "{held}");
    assert_eq!(get(internal), held);
}

/// Guards against requests of peers that starve, and against a body that gives way although it makes progress while
/// one that makes none stays.
#[test]
fn a_stalled_body_gives_way_to_another() {
    let (callers, internal) = serve();
    let mut stalled: Vec<TcpStream> = (0..4).map(|_| post_without(callers, 1)).collect();
    thread::sleep(Duration::from_millis(800));
    for addr in [callers, internal] {
        let mut served = post_without(addr, 0);
        let head = read_until(&mut served, "\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    }
    let statuses = stalled.iter_mut().map(|stream| {
        stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        read_until(stream, "\r\n")
    });
    let refused = statuses
        .filter(|line| line.contains(" 408 ") || line.contains(" 503 "))
        .count();
    assert!(refused >= 2, "{refused}");
}

/// Guards against new callers that are shut out by idle connections.
#[test]
fn idle_connections_give_way_to_new_ones() {
    let (callers, internal) = serve();
    let idle: Vec<TcpStream> = (0..3 * MAX_DESCRIPTORS).map(|_| connect(callers)).collect();
    assert!(get(callers).contains("200 OK"));
    assert!(get(internal).contains("200 OK"));
    drop(idle);
}
