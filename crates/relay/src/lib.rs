//! HTTP/1.1 server and client that forward requests and responses without rewriting them.
//!
//! Heads and chunk sizes are parsed by `httparse`. This crate adds body framing, limits on time and
//! size, detection of callers that disconnect while they wait, and whether a failed request may
//! have reached its endpoint. `async-h1`, which the router's own API uses, does not fit
//! here: it rewrites paths and headers, drops bodies delimited by connection close, and cannot
//! distinguish a complete body from a truncated one.
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

mod account;
mod body;
mod body_buffer;
mod capacity;
mod connection;
mod exchange;
mod framing;
mod head;
mod headers;
mod limits;
mod message;
mod occupant;
mod read_times;
mod receive;
mod send;
mod server;
mod socket;

pub use account::{Holding, MemoryAccount, Origin, Purpose};
pub use body::{BodyReader, BodyStatus};
pub use body_buffer::BodyBuffer;
pub use capacity::Capacity;
pub use exchange::{Exchange, ExchangeError, read_head};
pub use framing::{Framing, FramingError};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use headers::{Header, Headers};
pub use limits::{DrainState, Limits};
pub use message::{Body, BodyError, BodyStream, Handler, LocalFuture, Request, Response};
pub use occupant::CloseReason;
pub use read_times::ReadTimes;
pub use server::Server;
pub use socket::{Socket, timeout_at};
