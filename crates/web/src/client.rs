//! Calls to other servers, over connections that are reused only when that is safe.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http_types::Request;
use kernel::Verdict;

use crate::reply::Reply;

/// The most idle connections that are kept for one address.
const MAX_IDLE_PER_ADDR: usize = 64;

/// Whether a call may use a connection that served another call before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Take an idle connection if there is one.
    Allowed,
    /// Open a new connection, so that a call that must not be repeated never meets one that the
    /// endpoint is about to close.
    Never,
}

/// A call that got no response.
#[derive(Debug)]
pub struct SendError {
    /// Whether any byte of the request may have reached the endpoint.
    pub verdict: Verdict,
    /// What happened.
    pub message: String,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict.as_str())
    }
}

impl std::error::Error for SendError {}

struct Inner {
    stream: Async<TcpStream>,
    wrote: AtomicBool,
}

/// One connection to another server.
#[derive(Clone)]
pub(crate) struct ClientConn {
    inner: Arc<Inner>,
}

impl ClientConn {
    /// Returns whether the connection is open with nothing left to read.
    fn is_clean(&self) -> bool {
        let mut byte = [0];
        let peeked = self.inner.stream.get_ref().peek(&mut byte);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for ClientConn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.inner.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientConn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner.wrote.store(true, Ordering::Relaxed);
        Pin::new(&mut &self.inner.stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.inner.stream.get_ref().shutdown(Shutdown::Write))
    }
}

/// The idle connections, by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<ClientConn>>>,
}

impl Pool {
    fn take(&self, addr: SocketAddr) -> Option<ClientConn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.get_mut(&addr)?;
        while let Some(conn) = conns.pop() {
            if conn.is_clean() {
                return Some(conn);
            }
        }
        None
    }

    pub(crate) fn put(&self, addr: SocketAddr, conn: ClientConn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(conn);
        }
    }
}

/// A caller of HTTP servers.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
    connect_timeout_ms: u64,
}

impl Client {
    /// Makes a client with an empty pool.
    pub fn new(connect_timeout_ms: u64) -> Client {
        Client {
            pool: Arc::default(),
            connect_timeout_ms,
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with [`Verdict::NotRun`] when no byte was handed to the connection.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request,
        reuse: Reuse,
    ) -> Result<Reply, SendError> {
        let conn = match reuse {
            Reuse::Allowed => self.pool.take(addr),
            Reuse::Never => None,
        };
        let conn = match conn {
            Some(conn) => conn,
            None => self.connect(addr).await?,
        };
        conn.inner.wrote.store(false, Ordering::Relaxed);
        match async_h1::connect(conn.clone(), request).await {
            Ok(response) => Ok(Reply::new(response, conn, addr, self.pool.clone())),
            Err(err) => {
                let wrote = conn.inner.wrote.load(Ordering::Relaxed);
                let verdict = if wrote {
                    Verdict::MayHaveRun
                } else {
                    Verdict::NotRun
                };
                Err(SendError {
                    verdict,
                    message: format!("the connection to {addr} broke: {err}"),
                })
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<ClientConn, SendError> {
        let timeout = Duration::from_millis(self.connect_timeout_ms);
        let connect = Async::<TcpStream>::connect(addr);
        let expire = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connect.or(expire).await.map_err(|err| SendError {
            verdict: Verdict::NotRun,
            message: format!("cannot connect to {addr}: {err}"),
        })?;
        drop(stream.get_ref().set_nodelay(true));
        Ok(ClientConn {
            inner: Arc::new(Inner {
                stream,
                wrote: AtomicBool::new(false),
            }),
        })
    }
}
