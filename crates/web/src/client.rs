//! Calls to other servers, over connections that are reused only when that is safe.

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

/// Whether a call may use a connection that served another call before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
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
        Ok(ClientConn::new(stream))
    }
}
