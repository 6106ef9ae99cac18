//! The server loop.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_h1::server::{Encoder, decode};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::headers::{CONNECTION, HeaderValues};
use http_types::{Method, Response};
use kernel::{Failure, Reason};
use smol::Executor;

use crate::conn::Conn;
use crate::drain::DrainState;
use crate::json::error_response;
use crate::limits::Limits;
use crate::request::IncomingRequest;

/// A future on the heap.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How often the accept loop looks whether the server stopped.
const END_CHECK: Duration = Duration::from_millis(100);

/// How often a connection looks at its idle time and at the end of the server.
const SUPERVISE_TICK: Duration = Duration::from_millis(250);

/// How much of a response is written at a time, in bytes.
const WRITE_CHUNK_BYTES: usize = 2048;

/// How long accepting pauses after an error such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response>;
}

/// A listening server.
pub struct Server {
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    limits: Arc<Limits>,
    drain: Arc<DrainState>,
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
            drain: Arc::new(DrainState::default()),
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
    pub fn drain(&self) -> Arc<DrainState> {
        self.drain.clone()
    }

    /// Accepts connections until the drain ends.
    pub async fn run(self, executor: Arc<Executor<'static>>) {
        let open = Arc::new(AtomicUsize::new(0));
        while !self.drain.is_stopped() {
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
    drain: Arc<DrainState>,
}

/// Counts a request as open while it lives.
struct OpenRequest(Arc<DrainState>);

impl OpenRequest {
    fn new(drain: &Arc<DrainState>) -> OpenRequest {
        drain.enter();
        OpenRequest(drain.clone())
    }
}

/// What comes after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Another request on the same connection.
    Request,
    /// The end of the connection.
    Close,
}

/// Returns whether a header asks to close the connection.
fn closes(header: Option<&HeaderValues>) -> bool {
    header.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.leave();
    }
}

impl Session {
    async fn run(self) {
        let mut supervised = pin!(self.supervise());
        loop {
            self.conn.next_request();
            let vanished = async {
                poll_fn(|cx| self.conn.poll_vanished(cx)).await;
                Ok(Next::Close)
            };
            let supervised = async {
                supervised.as_mut().await;
                Ok(Next::Close)
            };
            match self.serve_one().or(vanished).or(supervised).await {
                Ok(Next::Request) if !self.drain.is_closing() => {}
                Ok(_) => break,
                Err(err) => {
                    self.reject(&err).await;
                    break;
                }
            }
        }
        self.conn.linger().await;
        self.conn.close();
    }

    /// Reads one request, answers it, and says what comes next.
    async fn serve_one(&self) -> http_types::Result<Next> {
        let Some((request, body)) = decode(self.conn.clone()).await? else {
            return Ok(Next::Close);
        };
        // The request holds the body too; this handle would only keep its buffer alive.
        drop(body);
        let _open = OpenRequest::new(&self.drain);
        let method = request.method();
        let asks_close = closes(request.header(CONNECTION));
        let incoming = IncomingRequest::new(request, self.peer, self.conn.clone(), &self.limits);
        let response = self.answer(incoming).await;
        let close = asks_close || closes(response.header(CONNECTION));
        self.write(response, method).await?;
        Ok(if close { Next::Close } else { Next::Request })
    }

    /// Writes a response as it is made.
    async fn write(&self, response: Response, method: Method) -> http_types::Result<()> {
        let mut encoder = Encoder::new(response, method);
        let mut conn = self.conn.clone();
        let mut chunk = [0; WRITE_CHUNK_BYTES];
        loop {
            let count = encoder.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            conn.write_all(&chunk[..count]).await?;
        }
    }

    /// Is ready when the connection waited too long for a head, or is idle when the server stopped.
    async fn supervise(&self) {
        let mut waited_ms = 0;
        let mut seen = self.conn.heads();
        loop {
            Timer::after(SUPERVISE_TICK).await;
            if self.drain.is_stopped() && self.conn.is_idle() {
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

    async fn answer(&self, incoming: IncomingRequest) -> Response {
        let chunked = incoming.header("transfer-encoding").is_some();
        let has_body = chunked || incoming.request.len().is_some_and(|length| length > 0);
        let mut response = self.handler.handle(incoming).await;
        if chunked || self.drain.is_closing() || self.conn.has_unread_body(has_body) {
            response.insert_header(CONNECTION, "close");
        }
        response
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
        let mut response = error_response(&failure);
        response.insert_header(CONNECTION, "close");
        drop(self.write(response, Method::Get).await);
    }
}
