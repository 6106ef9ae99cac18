//! One call to an endpoint over a connection of its own.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;

use crate::body::{BodyReader, BodyStatus};
use crate::framing::Framing;
use crate::head::ResponseHead;
use crate::socket::{Socket, Step, timeout_at};

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A call that got no answer it could use.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the endpoint may have read any of the request.
    pub sent: bool,
    /// What happened.
    pub source: io::Error,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let when = if self.sent { "after" } else { "before" };
        write!(f, "{} ({when} the request was sent)", self.source)
    }
}

impl std::error::Error for ExchangeError {}

/// One call. Dropping it closes the connection, which ends the endpoint's work on it.
#[derive(Debug)]
pub struct Exchange {
    socket: Socket,
    body: BodyReader,
}

impl Exchange {
    /// Sends a request over a new connection and waits for the head of the answer.
    ///
    /// The answer may come before the request's body was sent whole.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached, breaks off, is too slow, or sends no head.
    pub async fn start(
        addr: SocketAddr,
        connect_until: Instant,
        until: Instant,
        method: &str,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(Exchange, ResponseHead), ExchangeError> {
        let connected = Socket::connect(addr, connect_until).await;
        let mut socket = connected.map_err(|source| ExchangeError {
            sent: false,
            source,
        })?;
        let exchange = async {
            let message = [head, body].concat();
            send(&mut socket, &message).await?;
            loop {
                let answer = read_head(&mut socket).await?;
                if !matches!(answer.status, 100..=199) {
                    return Ok(answer);
                }
            }
        };
        let answer = timeout_at(until, exchange).await;
        let answer = answer.map_err(|source| ExchangeError { sent: true, source })?;
        let framing = Framing::of_response(method, &answer);
        let framing = framing.map_err(|err| ExchangeError {
            sent: true,
            source: io::Error::new(io::ErrorKind::InvalidData, err),
        })?;
        let body = BodyReader::new(framing);
        Ok((Exchange { socket, body }, answer))
    }

    /// Returns the next piece of the answer's body, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut or malformed.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.body.next(&mut self.socket).await
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut, malformed, or larger than `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: u64) -> io::Result<Bytes> {
        self.body.read_to_end(&mut self.socket, max_bytes).await
    }

    /// Returns whether the body came whole.
    pub fn is_complete(&self) -> bool {
        self.body.status() == BodyStatus::Complete
    }
}

/// Writes a request until it is out or an answer begins.
async fn send(socket: &mut Socket, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() && socket.buffered().is_empty() {
        match socket.write_or_fill(bytes).await? {
            Step::Wrote(count) => bytes = &bytes[count..],
            Step::Read(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Step::Read(_) => break,
        }
    }
    Ok(())
}

async fn read_head(socket: &mut Socket) -> io::Result<ResponseHead> {
    loop {
        let parsed = ResponseHead::parse(socket.buffered());
        let parsed = parsed.map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
        if let Some((head, length)) = parsed {
            socket.consume(length);
            return Ok(head);
        }
        if socket.buffered().len() > MAX_HEAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer is too large",
            ));
        }
        if !socket.fill().await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
