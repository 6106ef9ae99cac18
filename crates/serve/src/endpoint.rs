//! What is believed of one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

/// One run of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint's name.
    pub id: Arc<str>,
    /// When this run started, in milliseconds since the Unix epoch; a new run knows nothing of an
    /// earlier one under the same name.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The version of its software or weights.
    pub version: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
}
