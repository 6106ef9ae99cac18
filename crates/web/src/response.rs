//! Responses to the client's calls.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncReadExt};
use http_types::{Body, Response};

use crate::pool::{ClientConn, Pool};

/// A response whose body has not been read yet.
pub struct ClientResponse {
    response: Response,
    body: Body,
    declared_bytes: Option<u64>,
    read_bytes: u64,
    ended: bool,
    conn: ClientConn,
    addr: SocketAddr,
    pool: Arc<Pool>,
}

impl ClientResponse {
    pub(crate) fn new(
        mut response: Response,
        conn: ClientConn,
        addr: SocketAddr,
        pool: Arc<Pool>,
    ) -> ClientResponse {
        let declared_bytes = response.len().map(|length| length as u64);
        let body = response.take_body();
        ClientResponse {
            response,
            body,
            declared_bytes,
            read_bytes: 0,
            ended: false,
            conn,
            addr,
            pool,
        }
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Returns the declared length of the body, in bytes, or `None` if it has none.
    pub fn declared_bytes(&self) -> Option<u64> {
        self.declared_bytes
    }

    /// Returns whether the body was read to its end and had the declared length.
    pub fn is_complete(&self) -> bool {
        self.ended
            && self
                .declared_bytes
                .is_none_or(|declared| declared == self.read_bytes)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the body is truncated or larger than `max_bytes`.
    pub async fn read_body(&mut self, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut bytes =
            Vec::with_capacity(self.declared_bytes.unwrap_or(0).min(max_bytes) as usize);
        let mut reader = (&mut *self).take(max_bytes + 1);
        reader.read_to_end(&mut bytes).await?;
        if bytes.len() as u64 > max_bytes {
            return Err(io::Error::other(format!(
                "the response body is larger than {max_bytes} bytes"
            )));
        }
        if !self.is_complete() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(bytes)
    }

    /// Returns the connection to the pool, if the body was read completely and the server keeps the
    /// connection open.
    pub fn recycle(self) {
        let closes = self
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if self.is_complete() && !closes {
            self.pool.put(self.addr, self.conn);
        }
    }
}

impl AsyncRead for ClientResponse {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.body).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = result {
            self.read_bytes += count as u64;
            self.ended |= count == 0;
            if count == 0 && !self.is_complete() && !buf.is_empty() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
        }
        result
    }
}
