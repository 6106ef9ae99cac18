//! Responses to the client's calls.

use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use futures_lite::AsyncRead;
use relay::{BodyReader, BodyStatus, Framing, ResponseHead, Socket};

use crate::pool::Pool;

/// A response whose body has not been read yet.
pub struct ClientResponse {
    head: ResponseHead,
    body: BodyReader,
    /// Decoded bytes of the body that were not read yet.
    decoded: Bytes,
    socket: Socket,
    reused_connection: bool,
    addr: SocketAddr,
    pool: Arc<Pool>,
}

impl ClientResponse {
    pub(crate) fn new(
        head: ResponseHead,
        framing: Framing,
        socket: Socket,
        addr: SocketAddr,
        pool: Arc<Pool>,
    ) -> ClientResponse {
        ClientResponse {
            head,
            body: BodyReader::new(framing),
            decoded: Bytes::new(),
            socket,
            reused_connection: false,
            addr,
            pool,
        }
    }

    pub(crate) fn set_reused_connection(&mut self) {
        self.reused_connection = true;
    }

    /// Returns whether the connection carried another call before, to which this response may
    /// belong.
    pub fn is_on_reused_connection(&self) -> bool {
        self.reused_connection
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns the last value of a header, if it is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.headers.iter();
        let field = fields
            .filter(|field| field.name.eq_ignore_ascii_case(name))
            .last()?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns the declared length of the body, in bytes, or `None` if it has none.
    pub fn declared_bytes(&self) -> Option<u64> {
        match self.body.framing() {
            Framing::None => Some(0),
            Framing::Length(bytes) => Some(bytes),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether the body was read to its declared end.
    pub fn is_complete(&self) -> bool {
        self.decoded.is_empty()
            && self.body.status() == BodyStatus::Complete
            && !self.body.ends_with_connection()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, or the body is truncated, larger than `max_bytes`, or has
    /// neither a length nor chunks, so that a truncated one would look whole.
    pub async fn read_body(&mut self, max_bytes: u64) -> io::Result<Vec<u8>> {
        let capacity = self.declared_bytes().unwrap_or(0).min(max_bytes);
        let mut bytes = Vec::with_capacity(capacity as usize);
        let mut next = Some(std::mem::take(&mut self.decoded));
        while let Some(piece) = next {
            if (bytes.len() + piece.len()) as u64 > max_bytes {
                return Err(io::Error::other(format!(
                    "the response body is larger than {max_bytes} bytes"
                )));
            }
            bytes.extend_from_slice(&piece);
            next = self.body.next(&mut self.socket).await?;
        }
        self.check_framed()?;
        Ok(bytes)
    }

    /// Fails if only the end of the connection ended the body.
    fn check_framed(&self) -> io::Result<()> {
        if self.body.ends_with_connection() {
            let message = "the response body has neither a length nor chunks";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
        }
        Ok(())
    }

    /// Returns the connection to the pool, if the body was read completely, no other bytes follow
    /// it, and the server keeps the connection open.
    pub fn recycle(self) {
        let closes =
            self.head.minor_version == 0 || self.head.headers.has_token("connection", "close");
        if self.is_complete() && !closes && self.socket.buffered().is_empty() {
            self.pool.put(self.addr, self.socket);
        }
    }
}

impl AsyncRead for ClientResponse {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.decoded.is_empty() && !buf.is_empty() {
            // Nothing is lost when this future is dropped while it is pending.
            let next = ready!(pin!(this.body.next(&mut this.socket)).poll(cx))?;
            let Some(bytes) = next else {
                return Poll::Ready(this.check_framed().map(|()| 0));
            };
            this.decoded = bytes;
        }
        let count = buf.len().min(this.decoded.len());
        this.decoded.copy_to_slice(&mut buf[..count]);
        Poll::Ready(Ok(count))
    }
}
