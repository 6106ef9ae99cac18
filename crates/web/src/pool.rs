//! Client connections and the pool of idle ones.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};

/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDR: usize = 64;

struct Shared {
    stream: Async<TcpStream>,
    wrote: AtomicBool,
}

/// A connection to a server, which records whether a call wrote to it.
#[derive(Clone)]
pub(crate) struct ClientConn {
    shared: Arc<Shared>,
}

impl ClientConn {
    /// Wraps an open connection.
    pub(crate) fn new(stream: Async<TcpStream>) -> ClientConn {
        ClientConn {
            shared: Arc::new(Shared {
                stream,
                wrote: AtomicBool::new(false),
            }),
        }
    }

    /// Resets [`ClientConn::has_written`] for the next call.
    pub(crate) fn begin_call(&self) {
        self.shared.wrote.store(false, Ordering::Relaxed);
    }

    /// Returns whether a write was attempted since the call began.
    pub(crate) fn has_written(&self) -> bool {
        self.shared.wrote.load(Ordering::Relaxed)
    }

    /// Returns whether the connection is open and has no unread bytes, which would be taken for the
    /// response to the next request.
    fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = self.shared.stream.get_ref().peek(&mut byte);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for ClientConn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.shared.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientConn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.shared.wrote.store(true, Ordering::Relaxed);
        Pin::new(&mut &self.shared.stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shared.stream.get_ref().shutdown(Shutdown::Write))
    }
}

/// The idle connections of a client, by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<ClientConn>>>,
}

impl Pool {
    /// Removes and returns a reusable connection; drops the others that it finds.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<ClientConn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.get_mut(&addr)?;
        while let Some(conn) = conns.pop() {
            if conn.is_reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// Adds an idle connection, or drops it if the pool has enough for the address.
    pub(crate) fn put(&self, addr: SocketAddr, conn: ClientConn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(conn);
        }
    }
}
