//! HTTP client that reuses connections only when that is safe.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_h1::client::Encoder;
use futures_lite::AsyncReadExt;
use http_types::Request;
use kernel::Verdict;
use relay::{Framing, ResponseHead, Socket, read_head};

use crate::pool::Pool;
use crate::response::ClientResponse;

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

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
    /// [`Verdict::NotRun`] if no write of the request was attempted, else [`Verdict::MayHaveRun`].
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
    /// Fails with [`Verdict::NotRun`] when the request could not be encoded or no connection could
    /// be opened, and with [`Verdict::MayHaveRun`] when the connection broke later or the response
    /// has no valid head.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request,
        reuse: ConnectionReuse,
    ) -> Result<ClientResponse, SendError> {
        let method = request.method();
        let mut encoded = Vec::new();
        let encode = Encoder::new(request).read_to_end(&mut encoded).await;
        encode.map_err(|err| SendError {
            verdict: Verdict::NotRun,
            message: format!("cannot encode the request to {addr}: {err}"),
        })?;
        let idle = match reuse {
            ConnectionReuse::Allowed => self.pool.take(addr),
            ConnectionReuse::Never => None,
        };
        let is_reused = idle.is_some();
        let mut socket = match idle {
            Some(socket) => socket,
            None => self.connect(addr).await?,
        };
        let failed = |err: io::Error| SendError {
            verdict: Verdict::MayHaveRun,
            message: format!("the connection to {addr} failed: {err}"),
        };
        write_all(&mut socket, &encoded).await.map_err(failed)?;
        let head = read_final_head(&mut socket).await.map_err(failed)?;
        let framing = Framing::of_response(method.as_ref(), &head);
        let framing = framing.map_err(|err| failed(invalid_data(err)))?;
        let pool = self.pool.clone();
        let mut response = ClientResponse::new(head, framing, socket, addr, pool);
        if is_reused {
            response.set_reused_connection();
        }
        Ok(response)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Socket, SendError> {
        let deadline = Instant::now() + Duration::from_millis(self.connect_timeout_ms);
        let connected = Socket::connect(addr, deadline).await;
        connected.map_err(|err| SendError {
            verdict: Verdict::NotRun,
            message: format!("cannot connect to {addr}: {err}"),
        })
    }
}

async fn write_all(socket: &mut Socket, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = socket.write(bytes).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[count..];
    }
    Ok(())
}

/// Reads the head of a final response. Interim responses are not supported.
async fn read_final_head(socket: &mut Socket) -> io::Result<ResponseHead> {
    let head = read_head(socket, MAX_HEAD_BYTES).await?;
    if matches!(head.status, 100..=199) {
        return Err(invalid_data(format!("interim status {}", head.status)));
    }
    Ok(head)
}

fn invalid_data(err: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, err)
}
