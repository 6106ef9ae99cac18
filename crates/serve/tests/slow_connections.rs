//! Endpoints that are slow to accept connections.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use common::fleet::Fleet;
use common::{Harness, Health, ScriptedEndpoint, answer, answer_health, read_head, route};
use futures_lite::future::block_on;
use route::RetrySafety;
use socket2::{Domain, Socket, Type};

const BACKLOG: i32 = 0;
const FILLERS: usize = 4;
const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Type: text/event-stream\r\n\r\n\
    id: 1\ndata: a\n\n";

fn listen() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(BACKLOG).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    (socket.into(), addr)
}

/// Answers one request while its backlog is full, and accepts connections again a while after the end.
fn serve(listener: &TcpListener, addr: SocketAddr) {
    let (mut stream, _) = listener.accept().unwrap();
    read_head(&mut stream).unwrap();
    let timeout = Duration::from_millis(50);
    let fill = |_| TcpStream::connect_timeout(&addr, timeout).ok();
    let fillers: Vec<TcpStream> = (0..FILLERS).filter_map(fill).collect();
    stream.write_all(STREAM.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    drop(stream);
    std::thread::sleep(Duration::from_millis(300));
    drop(fillers);
    for mut stream in listener.incoming().flatten() {
        if let Some(head) = read_head(&mut stream) {
            answer_health(&mut stream, &head, Health::After(0), None);
        }
    }
}

/// Guards against resetting a whole stream as one connection to its endpoint timed out.
#[test]
fn a_stream_of_an_endpoint_that_is_slow_to_accept_connections_ends_as_complete() {
    let (listener, addr) = listen();
    std::thread::spawn(move || serve(&listener, addr));
    let harness = Harness::new(route(RetrySafety::NonIdempotentStream), &[addr], 10.0);
    assert!(harness.send(&[]).is_complete);
}

/// Guards against a path that comes back in time and makes a stream whole that it had cut short.
#[test]
fn a_path_that_peers_show_to_be_cut_makes_no_stream_whole_when_it_comes_back() {
    let (listener, addr) = listen();
    std::thread::spawn(move || serve(&listener, addr));
    let there = ScriptedEndpoint::start(vec![answer("unasked")]);
    let route = route(RetrySafety::NonIdempotentStream);
    let fleet = Fleet::new(&route, &[vec![addr], vec![there.addr]]);
    fleet.exchange_reach();
    let sending = fleet.instances[0].send_to("/x/1", &[]);
    let received = block_on(fleet.executor.run(sending));
    assert!(!received.is_complete);
}
