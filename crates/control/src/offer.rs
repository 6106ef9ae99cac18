//! Objects that peers hold and this instance may lack.

use std::net::SocketAddr;
use std::sync::Arc;

use wire::ConfigDigest;

/// Objects of one kind that a peer holds and this instance may lack.
#[derive(Debug, Clone)]
pub(crate) struct Offer {
    pub(crate) peer_addr: SocketAddr,
    pub(crate) peer_name: Arc<str>,
    pub(crate) digest: ConfigDigest,
    /// How often a fetch of this offer has failed.
    pub(crate) failure_count: u32,
}
