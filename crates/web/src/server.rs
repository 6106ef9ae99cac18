//! The HTTP server.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use async_h1::server::{Encoder, decode};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::headers::{CONNECTION, HeaderValues};
use http_types::{Method, Response};
use kernel::{Failure, Reason};
use smol::Executor;

use crate::capacity::{Capacity, Seat};
use crate::conn::Conn;
use crate::drain::DrainState;
use crate::json::error_response;
use crate::limits::Limits;
use crate::request::IncomingRequest;

/// A boxed future that can be sent between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How often the accept loop checks whether the server is stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a connection checks its idle time and whether the server is stopped.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Size of the buffer through which responses are written.
const WRITE_CHUNK_BYTES: usize = 2048;

/// Pause after a failed accept, for example because too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The response to a connection for which there is no capacity.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-rosemary-verdict: not-run\r\nretry-after: 1\r\n\
                         connection: close\r\ncontent-length: 0\r\n\r\n";

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response>;
}

/// A server that is bound to an address.
pub struct Server {
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    limits: Arc<Limits>,
    drain: Arc<DrainState>,
    capacity: Arc<Capacity>,
}

impl Server {
    /// Binds an address, without accepting connections yet.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(addr: SocketAddr, handler: Arc<dyn Handler>, limits: Limits) -> io::Result<Server> {
        let listener = Async::<TcpListener>::bind(addr)?;
        let capacity = Capacity::new(limits.max_connections, limits.max_held_bytes);
        Ok(Server {
            listener,
            handler,
            limits: Arc::new(limits),
            drain: Arc::new(DrainState::default()),
            capacity: Arc::new(capacity),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does not report it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Returns the state through which the server is shut down.
    pub fn drain(&self) -> Arc<DrainState> {
        self.drain.clone()
    }

    /// Returns the capacity for connections.
    pub fn capacity(&self) -> Arc<Capacity> {
        self.capacity.clone()
    }

    /// Accepts connections until [`DrainState::stop`], and serves each on `executor`.
    pub async fn run(self, executor: Arc<Executor<'static>>) {
        while !self.drain.is_stopped() {
            turn::yield_if_over().await;
            let accepted = async { Some(self.listener.accept().await) };
            let tick = async {
                Timer::after(STOP_CHECK_INTERVAL).await;
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
            drop(stream.get_ref().set_nodelay(true));
            let conn = Conn::new(stream, self.limits.write_timeout_ms);
            let Some(seat) = self.capacity.admit(&conn).await else {
                conn.refuse(REFUSAL);
                continue;
            };
            let connection = Connection {
                conn,
                seat: Arc::new(seat),
                peer,
                handler: self.handler.clone(),
                limits: self.limits.clone(),
                drain: self.drain.clone(),
            };
            executor.spawn(connection.run()).detach();
        }
    }
}

/// An accepted connection with what is needed to serve it.
struct Connection {
    conn: Conn,
    seat: Arc<Seat>,
    peer: SocketAddr,
    handler: Arc<dyn Handler>,
    limits: Arc<Limits>,
    drain: Arc<DrainState>,
}

/// Keeps a request counted in [`DrainState::open_requests`].
struct OpenRequestGuard(Arc<DrainState>);

impl OpenRequestGuard {
    fn new(drain: &Arc<DrainState>) -> OpenRequestGuard {
        drain.request_started();
        OpenRequestGuard(drain.clone())
    }
}

/// What follows a response on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Another request.
    Request,
    /// The connection closes.
    Close,
}

/// Returns whether a `Connection` header asks to close the connection.
fn asks_close(header: Option<&HeaderValues>) -> bool {
    header.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

impl Connection {
    async fn run(self) {
        let mut must_close = pin!(self.wait_for_close());
        loop {
            self.conn.next_request();
            let disconnected = async {
                poll_fn(|cx| self.conn.poll_disconnected(cx)).await;
                Ok(Next::Close)
            };
            let must_close = async {
                must_close.as_mut().await;
                Ok(Next::Close)
            };
            match self.serve_one().or(disconnected).or(must_close).await {
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

    /// Receives one request, writes its response, and returns what follows.
    async fn serve_one(&self) -> http_types::Result<Next> {
        let Some((request, body)) = decode(self.conn.clone()).await? else {
            return Ok(Next::Close);
        };
        // The request holds the body as well; this handle would only keep its buffer allocated.
        drop(body);
        let _guard = OpenRequestGuard::new(&self.drain);
        let method = request.method();
        let caller_closes = asks_close(request.header(CONNECTION));
        let incoming = IncomingRequest::new(
            request,
            self.peer,
            self.conn.clone(),
            self.seat.clone(),
            &self.limits,
        );
        let response = self.handle(incoming).await;
        let close = caller_closes || asks_close(response.header(CONNECTION));
        // The handler has dropped the request. Its response is sent also if there is no memory, as it is there.
        if let Some(length) = response.len() {
            self.seat.set(length as u64);
        }
        self.write(response, method).await?;
        self.seat.set(0);
        Ok(if close { Next::Close } else { Next::Request })
    }

    /// Writes a response while its body is produced.
    async fn write(&self, response: Response, method: Method) -> http_types::Result<()> {
        let is_stream = response.len().is_none();
        let mut encoder = Encoder::new(response, method);
        let mut conn = self.conn.clone();
        let mut chunk = [0; WRITE_CHUNK_BYTES];
        if is_stream {
            conn.set_reset_on_close(true);
        }
        loop {
            let count = encoder.read(&mut chunk).await?;
            if count == 0 {
                if is_stream {
                    conn.set_reset_on_close(false);
                }
                return Ok(());
            }
            conn.write_all(&chunk[..count]).await?;
        }
    }

    /// Completes when the connection has waited too long for a request head, or when it is idle and
    /// the server is stopped.
    async fn wait_for_close(&self) {
        let mut waited_ms = 0;
        let mut last_heads = self.conn.heads();
        loop {
            Timer::after(CONNECTION_CHECK_INTERVAL).await;
            if self.drain.is_stopped() && self.conn.is_idle() {
                return;
            }
            let heads = self.conn.heads();
            if !self.conn.awaits_head() || heads != last_heads {
                last_heads = heads;
                waited_ms = 0;
                continue;
            }
            waited_ms += CONNECTION_CHECK_INTERVAL.as_millis() as u64;
            if waited_ms >= self.limits.idle_timeout_ms {
                return;
            }
        }
    }

    async fn handle(&self, incoming: IncomingRequest) -> Response {
        let chunked = incoming.header("transfer-encoding").is_some();
        let has_body = chunked || incoming.request.len().is_some_and(|length| length > 0);
        let mut response = self.handler.handle(incoming).await;
        if chunked || self.drain.is_closing() || self.conn.has_unread_body(has_body) {
            response.insert_header(CONNECTION, "close");
        }
        response
    }

    /// Responds with an error to a request that `async-h1` could not read.
    async fn reject(&self, err: &http_types::Error) {
        if self.conn.responded() {
            return;
        }
        let failure = Failure::not_run(
            Reason::BadRequest,
            format!("cannot read the request: {err}"),
        );
        let mut response = error_response(&failure);
        response.insert_header(CONNECTION, "close");
        drop(self.write(response, Method::Get).await);
    }
}
