//! A peer that carries requests over a real listener, and the home of these requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use kernel::{Clock, Incarnation};
use member::Member;
use relay::{Handler, LocalFuture, Request, Response, Server};
use route::Route;
use serve::{CarryHandler, PeerReach};
use socket2::{Domain, Socket, Type};

use super::cuts::number_after;
use super::{Harness, Received};

/// An address at which connections are refused.
pub struct RefusingAddr {
    pub addr: SocketAddr,
    _held: Socket,
}

impl RefusingAddr {
    pub fn new() -> RefusingAddr {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        RefusingAddr {
            addr: socket.local_addr().unwrap().as_socket().unwrap(),
            _held: socket,
        }
    }
}

/// Creates an instance that reaches no endpoint and knows peers at these addresses, nearest first.
pub fn home(route: Route, unreached: SocketAddr, peers: &[SocketAddr]) -> Harness {
    let home = Harness::new(route, &[unreached, unreached], 1_000.0);
    let own = Incarnation::random();
    let mut members = vec![Member::new(own, "home", "here")];
    let mut reach = HashMap::new();
    for (index, addr) in peers.iter().enumerate() {
        let incarnation = Incarnation::random();
        let zone = if index == 0 { "here" } else { "there" };
        let peer = Member::new(incarnation, &format!("peer{index}"), zone);
        members.push(peer.with_carry_addr(&addr.to_string()));
        let report = PeerReach {
            received_ms: home.clock.mono_ms(),
            out_of_reach: Default::default(),
        };
        reach.insert(incarnation, report);
    }
    home.pipeline.shared_loads().set_peer_reach(reach);
    let mut view = (**home.view.load()).clone();
    view.instance_count = members.len();
    view.members = Arc::new(members);
    view.incarnation = Some(own);
    view.generation += 1;
    home.view.store(view.into());
    home
}

/// A listener whose handler can be replaced.
pub struct Listener {
    pub addr: SocketAddr,
    pub executor: Rc<LocalExecutor<'static>>,
    handler: Rc<Replaceable>,
}

#[derive(Default)]
struct Replaceable {
    current: RefCell<Option<Rc<dyn Handler>>>,
}

impl Handler for Replaceable {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        let current = self.current.borrow().clone().unwrap();
        Box::pin(async move { current.handle(request).await })
    }
}

impl Listener {
    pub fn start() -> Listener {
        let handler: Rc<Replaceable> = Rc::default();
        let executor: Rc<LocalExecutor<'static>> = Rc::default();
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(any, handler.clone(), Rc::default()).unwrap();
        let addr = server.local_addr().unwrap();
        executor.spawn(server.run(executor.clone())).detach();
        Listener {
            addr,
            executor,
            handler,
        }
    }

    /// Replaces the handler.
    pub fn set(&self, handler: Rc<dyn Handler>) {
        *self.handler.current.borrow_mut() = Some(handler);
    }
}

/// A peer that carries requests.
pub struct Carrier {
    pub addr: SocketAddr,
    listener: Listener,
}

impl Carrier {
    pub fn start() -> Carrier {
        let listener = Listener::start();
        Carrier {
            addr: listener.addr,
            listener,
        }
    }

    /// Sends a request by way of a peer, at `peer_addr`, that knows nothing of these endpoints yet.
    pub fn send(&self, route: &Route, peer_addr: SocketAddr, endpoints: &[SocketAddr]) -> Received {
        let peer = Harness::new(route.clone(), endpoints, 1_000.0);
        let handler = CarryHandler::new(peer.pipeline.clone());
        self.listener.set(Rc::new(handler));
        let unreached = RefusingAddr::new();
        let home = home(route.clone(), unreached.addr, &[peer_addr]);
        async_io::block_on(self.listener.executor.run(home.send_async(&[])))
    }
}

/// Returns whether an answer has its last chunk or its declared length.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    match number_after(head, "Content-Length: ") {
        Some(length) => body.len() as u64 == length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Returns the answer of a peer, as far as it comes.
pub fn ask(peer_addr: SocketAddr, head: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(peer_addr).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let mut block = [0; 1024];
    loop {
        if is_whole(&bytes) {
            return bytes;
        }
        match stream.read(&mut block) {
            Ok(count @ 1..) => bytes.extend_from_slice(&block[..count]),
            _ => return bytes,
        }
    }
}
