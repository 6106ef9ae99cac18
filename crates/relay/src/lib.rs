//! HTTP/1.1 for requests and answers that are passed on as they came.
//!
//! `httparse` reads heads and chunk sizes. This crate adds the framing of bodies, bounds on time and
//! size, callers that vanish while their answer is awaited, and whether a failed call may have
//! reached its endpoint. `async-h1`, which the own interface uses, rewrites paths and headers, drops
//! bodies that end with their connection, and cannot tell a whole body from a cut one.
//!
//! # Examples
//!
//! ```
//! use relay::{Framing, Headers};
//!
//! let mut headers = Headers::default();
//! headers.push("Content-Length", "12");
//! assert_eq!(Framing::of_request(&headers), Ok(Framing::Length(12)));
//! ```

mod body;
mod connection;
mod exchange;
mod framing;
mod head;
mod headers;
mod limits;
mod message;
mod server;
mod socket;

pub use body::{BodyReader, BodyStatus};
pub use exchange::{Exchange, ExchangeError};
pub use framing::{Framing, FramingError};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use headers::{Header, Headers};
pub use limits::{DrainState, Limits};
pub use message::{Body, BodyError, BodyStream, Handler, LocalFuture, Request, Response};
pub use server::Server;
pub use socket::{Socket, timeout_at};
