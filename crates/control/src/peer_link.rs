//! Messages and connections to other instances of the fleet.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use wire::{Body, Envelope, Link, LinkError};

use crate::state::Control;

impl Control {
    /// Wraps a message to a peer.
    pub(crate) fn envelope(&self, body: Body) -> Envelope {
        Envelope::new(self.incarnation.as_u64(), body).in_fleet(&self.settings.fleet)
    }

    /// Connects to a peer.
    pub(crate) async fn connect_peer(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Link, LinkError> {
        let link = Link::connect(addr, timeout).await?;
        Ok(link.in_fleet(&self.settings.fleet))
    }

    /// Wraps a connection of a peer.
    pub(crate) fn accept_peer(&self, stream: Async<TcpStream>) -> Link {
        Link::new(stream).in_fleet(&self.settings.fleet)
    }

    /// Logs that a message of another fleet was refused; as a warning the first time only.
    pub(crate) fn log_other_fleet(&self, fleet: &str) {
        if self.other_fleet_seen.replace(true) {
            tracing::debug!(fleet, "member: message of another fleet refused");
        } else {
            tracing::warn!(fleet, "member: message of another fleet refused");
        }
    }
}
