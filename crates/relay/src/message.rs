//! Requests and responses as handlers see them.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;

use bytes::Bytes;

use crate::head::RequestHead;
use crate::headers::Headers;
use crate::limits::Limits;

/// A boxed future that is not `Send`: handlers run on the thread of their connection.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A request received from a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// The head, as received.
    pub head: RequestHead,
    /// The decoded body.
    pub body: Bytes,
    /// The remote address of the connection.
    pub peer_addr: SocketAddr,
    /// The time at which the head was received.
    pub received_at: Instant,
}

/// The failure of a streamed response body before its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyError {
    /// The cause.
    pub message: String,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for BodyError {}

/// A response body that is produced incrementally.
pub trait BodyStream {
    /// Returns the next bytes, or `None` at the end of the body. An error resets the connection.
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, BodyError>>;
}

/// The body of a response.
pub enum Body {
    /// A complete body, sent with `Content-Length`.
    Full(Bytes),
    /// A stream, each item of which is sent at once as a chunk.
    Stream(Box<dyn BodyStream>),
}

/// A response to a caller.
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields, without those that frame the body.
    pub headers: Headers,
    /// The body.
    pub body: Body,
    /// Whether to close the connection after this response.
    pub close_connection: bool,
}

impl Response {
    /// Creates a response with an empty body and no headers.
    pub fn new(status: u16) -> Response {
        Response {
            status,
            headers: Headers::default(),
            body: Body::Full(Bytes::new()),
            close_connection: false,
        }
    }

    /// Appends a header field.
    pub fn header(mut self, name: &str, value: &str) -> Response {
        self.headers.push(name, value);
        self
    }

    /// Sets a complete body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Response {
        self.body = Body::Full(body.into());
        self
    }
}

/// Handles the requests of a [`crate::Server`].
pub trait Handler {
    /// Handles a request. The future is dropped if the caller disconnects.
    fn handle(&self, request: Request) -> LocalFuture<'_, Response>;

    /// Returns the limits in force, which are read before each request.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}
