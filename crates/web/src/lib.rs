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
mod incoming;
mod limits;
mod pool;
mod reply;
mod respond;
mod serve;

pub use client::{Client, Reuse, SendError};
pub use drain::Drain;
pub use incoming::Incoming;
pub use limits::Limits;
pub use reply::Reply;
pub use respond::{fail, json};
pub use serve::{BoxFuture, Handler, Server};
