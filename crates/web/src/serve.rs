//! The server loop.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Encoder, Server as H1};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, io as async_io_util};
use http_types::{Method, Response};
use kernel::{Failure, Reason};
use smol::Executor;

use crate::conn::Conn;
use crate::drain::Drain;
use crate::incoming::Incoming;
use crate::limits::Limits;
use crate::respond::fail;

/// A future on the heap.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How often the accept loop looks whether the server ended.
const END_CHECK: Duration = Duration::from_millis(100);

/// How often a connection looks at its idle time and at the end of the server.
const SUPERVISE_TICK: Duration = Duration::from_millis(250);

/// How long accepting pauses after an error such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, incoming: Incoming) -> BoxFuture<'_, Response>;
}

/// A listening server.
pub struct Server {
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    limits: Arc<Limits>,
    drain: Arc<Drain>,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(addr: SocketAddr, handler: Arc<dyn Handler>, limits: Limits) -> io::Result<Server> {
        let listener = Async::<TcpListener>::bind(addr)?;
        Ok(Server {
            listener,
            handler,
            limits: Arc::new(limits),
            drain: Arc::new(Drain::default()),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the socket has none.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Returns the handle of a graceful shutdown.
    pub fn drain(&self) -> Arc<Drain> {
        self.drain.clone()
    }

    /// Accepts connections until the drain ends.
    pub async fn run(self, executor: Arc<Executor<'static>>) {
        let open = Arc::new(AtomicUsize::new(0));
        while !self.drain.is_ended() {
            let accepted = async { Some(self.listener.accept().await) };
            let tick = async {
                Timer::after(END_CHECK).await;
                None
            };
            let (stream, peer) = match accepted.or(tick).await {
                None => continue,
                Some(Ok(pair)) => pair,
                Some(Err(_)) => {
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if open.load(Ordering::Relaxed) >= self.limits.max_connections {
                continue;
            }
            drop(stream.get_ref().set_nodelay(true));
            let session = Session {
                conn: Conn::new(stream, self.limits.write_timeout_ms),
                peer,
                handler: self.handler.clone(),
                limits: self.limits.clone(),
                drain: self.drain.clone(),
            };
            open.fetch_add(1, Ordering::Relaxed);
            let open = open.clone();
            let task = executor.spawn(async move {
                session.run().await;
                open.fetch_sub(1, Ordering::Relaxed);
            });
            task.detach();
        }
    }
}

/// One connection being served.
struct Session {
    conn: Conn,
    peer: SocketAddr,
    handler: Arc<dyn Handler>,
    limits: Arc<Limits>,
    drain: Arc<Drain>,
}

/// Counts a request as open while it lives.
struct OpenRequest(Arc<Drain>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.leave();
    }
}

impl Session {
    async fn run(self) {
        let open = Arc::new(std::sync::Mutex::new(None));
        let mut server = H1::new(self.conn.clone(), |request| {
            if let Ok(mut slot) = open.lock() {
                self.drain.enter();
                *slot = Some(OpenRequest(self.drain.clone()));
            }
            let incoming = Incoming::new(request, self.peer, self.conn.clone(), &self.limits);
            self.answer(incoming)
        });
        let mut supervised = pin!(self.supervise());
        loop {
            self.conn.next_request();
            let vanished = async {
                poll_fn(|cx| self.conn.poll_vanished(cx)).await;
                Ok(ConnectionStatus::Close)
            };
            let supervised = async {
                supervised.as_mut().await;
                Ok(ConnectionStatus::Close)
            };
            let result = server.accept_one().or(vanished).or(supervised).await;
            if let Ok(mut slot) = open.lock() {
                slot.take();
            }
            match result {
                Ok(ConnectionStatus::KeepAlive) if !self.drain.is_closing() => {}
                Ok(_) => break,
                Err(err) => {
                    self.reject(&err).await;
                    break;
                }
            }
        }
        self.conn.close();
    }

    /// Is ready when the connection waited too long for a head, or is idle when the server ended.
    async fn supervise(&self) {
        let mut waited_ms = 0;
        let mut seen = self.conn.heads();
        loop {
            Timer::after(SUPERVISE_TICK).await;
            if self.drain.is_ended() && self.conn.is_idle() {
                return;
            }
            let heads = self.conn.heads();
            if !self.conn.awaits_head() || heads != seen {
                seen = heads;
                waited_ms = 0;
                continue;
            }
            waited_ms += SUPERVISE_TICK.as_millis() as u64;
            if waited_ms >= self.limits.idle_timeout_ms {
                return;
            }
        }
    }

    async fn answer(&self, incoming: Incoming) -> http_types::Result<Response> {
        let chunked = incoming.header("transfer-encoding").is_some();
        let has_body = chunked || incoming.request.len().is_some_and(|length| length > 0);
        let mut response = self.handler.handle(incoming).await;
        if chunked || self.drain.is_closing() || self.conn.has_unread_body(has_body) {
            response.insert_header("connection", "close");
        }
        Ok(response)
    }

    /// Answers a request that the library could not read.
    async fn reject(&self, err: &http_types::Error) {
        if self.conn.responded() {
            return;
        }
        let failure = Failure::not_run(
            Reason::BadRequest,
            format!("the request cannot be read: {err}"),
        );
        let mut response = fail(&failure);
        response.insert_header("connection", "close");
        let mut encoder = Encoder::new(response, Method::Get);
        drop(async_io_util::copy(&mut encoder, &mut self.conn.clone()).await);
    }
}
