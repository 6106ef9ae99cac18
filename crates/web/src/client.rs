//! HTTP client that reuses connections only when that is safe.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_types::Request;
use kernel::Verdict;

use crate::pool::{ClientConn, Pool};
use crate::response::ClientResponse;

/// Whether a call may use a connection that carried another call before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Uses an idle connection if there is one.
    Allowed,
    /// Opens a new connection. For non-idempotent calls: the endpoint may close an idle connection
    /// just as the request is written, and the call could then not be retried.
    Never,
}

/// The error of a call that received no response head.
#[derive(Debug)]
pub struct SendError {
    /// [`Verdict::NotRun`] if no byte of the request was written, else [`Verdict::MayHaveRun`].
    pub verdict: Verdict,
    /// Description of the error, with the address.
    pub message: String,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict.as_str())
    }
}

impl std::error::Error for SendError {}

/// An HTTP client, whose clones share a pool of idle connections.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
    connect_timeout_ms: u64,
}

impl Client {
    /// Creates a client with no connections. `connect_timeout_ms` bounds the opening of each.
    pub fn new(connect_timeout_ms: u64) -> Client {
        Client {
            pool: Arc::default(),
            connect_timeout_ms,
        }
    }

    /// Sends a request and waits for the head of the response, with no time limit but that for
    /// connecting.
    ///
    /// # Errors
    ///
    /// Fails with [`Verdict::NotRun`] when no byte was written to the connection, and with
    /// [`Verdict::MayHaveRun`] when it broke later.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request,
        reuse: ConnectionReuse,
    ) -> Result<ClientResponse, SendError> {
        let conn = match reuse {
            ConnectionReuse::Allowed => self.pool.take(addr),
            ConnectionReuse::Never => None,
        };
        let conn = match conn {
            Some(conn) => conn,
            None => self.connect(addr).await?,
        };
        conn.begin_call();
        match async_h1::connect(conn.clone(), request).await {
            Ok(response) => Ok(ClientResponse::new(response, conn, addr, self.pool.clone())),
            Err(err) => {
                let verdict = if conn.has_written() {
                    Verdict::MayHaveRun
                } else {
                    Verdict::NotRun
                };
                Err(SendError {
                    verdict,
                    message: format!("the connection to {addr} failed: {err}"),
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
        Ok(ClientConn::new(stream))
    }
}
