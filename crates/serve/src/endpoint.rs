//! Endpoints as the registry lists them.

use std::net::SocketAddr;
use std::sync::Arc;

/// The time for which an entry says that its endpoint stays cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLeft {
    /// The time from the moment of writing, in milliseconds.
    pub ms: u64,
    /// Revision of the entry. An endpoint that becomes cold again writes another one.
    pub revision: u64,
}

/// One run of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Unique identifier.
    pub id: Arc<str>,
    /// Start of this run, in milliseconds since the Unix epoch. A new run under the same identifier
    /// has no state of an earlier one.
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Listening address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Version of its software or model weights.
    pub version: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes no new requests because it is stopping.
    pub draining: bool,
    /// For how long it stays cold, if its entry says so.
    pub cold_left: Option<ColdLeft>,
}
