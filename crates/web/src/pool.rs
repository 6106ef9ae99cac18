//! Idle connections to other servers.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};

/// The most idle connections that are kept for one address.
const MAX_IDLE_PER_ADDR: usize = 64;

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
    /// Wraps an open connection.
    pub(crate) fn new(stream: Async<TcpStream>) -> ClientConn {
        ClientConn {
            inner: Arc::new(Inner {
                stream,
                wrote: AtomicBool::new(false),
            }),
        }
    }

    /// Notes that nothing of the next call was written.
    pub(crate) fn begin_call(&self) {
        self.inner.wrote.store(false, Ordering::Relaxed);
    }

    /// Returns whether any byte of the call was handed to the connection.
    pub(crate) fn has_written(&self) -> bool {
        self.inner.wrote.load(Ordering::Relaxed)
    }

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
    /// Takes an idle connection that is open with nothing left to read.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<ClientConn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.get_mut(&addr)?;
        while let Some(conn) = conns.pop() {
            if conn.is_clean() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection for another call.
    pub(crate) fn put(&self, addr: SocketAddr, conn: ClientConn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(conn);
        }
    }
}
