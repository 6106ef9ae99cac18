//! HTTP/1.1 serving and calling over `async-h1`.
//!
//! The library does the protocol. This crate adds what it leaves open: bounds on time and size,
//! pipelined requests, callers that vanish while an answer is awaited, reuse of connections to
//! endpoints, and whether a failed call may have reached its endpoint.
//!
//! # Examples
//!
//! ```
//! let limits = web::Limits::default().max_body_bytes(1 << 20).idle_timeout_ms(30_000);
//! assert_eq!(limits.max_body_bytes, 1 << 20);
//! ```

mod client;
mod conn;
mod drain;
mod json;
mod limits;
mod pool;
mod request;
mod response;
mod server;

pub use client::{Client, ConnectionReuse, SendError};
pub use drain::DrainState;
pub use json::{error_response, json};
pub use limits::Limits;
pub use request::IncomingRequest;
pub use response::ClientResponse;
pub use server::{BoxFuture, Handler, Server};
