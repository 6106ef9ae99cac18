//! Requests and answers as handlers see them.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;

use bytes::Bytes;

use crate::head::RequestHead;
use crate::headers::Headers;
use crate::limits::Limits;

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A received request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The head.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
    /// The caller's address.
    pub peer_addr: SocketAddr,
    /// When the head was read.
    pub received_at: Instant,
}

/// An answer that ends before it is whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyError {
    /// What happened.
    pub message: String,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for BodyError {}

/// A body that comes piece by piece.
pub trait BodyStream {
    /// Returns the next piece, or `None` after the last one.
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, BodyError>>;
}

/// The body of an answer.
pub enum Body {
    /// All of it.
    Full(Bytes),
    /// BodyStream, each of which is sent on as it comes.
    Stream(Box<dyn BodyStream>),
}

/// An answer.
pub struct Response {
    /// The status.
    pub status: u16,
    /// The header fields, without those that frame the body.
    pub headers: Headers,
    /// The body.
    pub body: Body,
    /// Whether the connection closes afterwards.
    pub close_connection: bool,
}

impl Response {
    /// Makes an answer without a body.
    pub fn new(status: u16) -> Response {
        Response {
            status,
            headers: Headers::default(),
            body: Body::Full(Bytes::new()),
            close_connection: false,
        }
    }

    /// Adds a header field.
    pub fn header(mut self, name: &str, value: &str) -> Response {
        self.headers.push(name, value);
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Response {
        self.body = Body::Full(body.into());
        self
    }
}

/// What answers requests.
pub trait Handler {
    /// Answers a request. The future is dropped when the caller leaves.
    fn handle(&self, call: Request) -> LocalFuture<'_, Response>;

    /// Returns the bounds in force.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}
