//! HTTP/1.1 server over `async-h1`, and client over `relay`.
//!
//! The server adds limits on time and size, pipelined requests, and detection of callers that
//! disconnect before the response. The client adds connection reuse and the verdict on whether a
//! failed call may have been executed; it takes the framing of bodies from `relay`, which
//! distinguishes a complete body from a truncated one.
//!
//! # Examples
//!
//! ```
//! let limits = web::Limits::default().max_body_bytes(1 << 20).idle_timeout_ms(30_000);
//! assert_eq!(limits.max_body_bytes, 1 << 20);
//! ```

mod capacity;
mod client;
mod conn;
mod drain;
mod json;
mod limits;
mod pool;
mod request;
mod response;
mod server;

pub use capacity::{CONNECTION_BYTES, Capacity};
pub use client::{Client, ConnectionReuse, SendError};
pub use drain::DrainState;
pub use json::{error_response, json};
pub use limits::Limits;
pub use request::IncomingRequest;
pub use response::ClientResponse;
pub use server::{BoxFuture, Handler, Server};
