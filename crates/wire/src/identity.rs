//! The instance that sends messages and receives those of its fleet.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;

use crate::link::{Link, LinkError};
use crate::message::{Body, Envelope};

/// An instance as the sender of messages.
#[derive(Debug)]
pub struct Identity {
    incarnation: u64,
    fleet: Arc<str>,
}

impl Identity {
    /// Makes the identity of an incarnation; `fleet` is empty if its fleet has no name.
    pub fn new(incarnation: u64, fleet: &str) -> Identity {
        Identity {
            incarnation,
            fleet: fleet.into(),
        }
    }

    /// Wraps a message to a peer.
    pub fn envelope(&self, body: Body) -> Envelope {
        Envelope::new(self.incarnation, body).in_fleet(&self.fleet)
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached within `timeout`.
    pub async fn connect(&self, addr: SocketAddr, timeout: Duration) -> Result<Link, LinkError> {
        let link = Link::connect(addr, timeout).await?;
        Ok(link.in_fleet(&self.fleet))
    }

    /// Wraps a connection that a peer opened.
    pub fn accept(&self, stream: Async<TcpStream>) -> Link {
        Link::new(stream).in_fleet(&self.fleet)
    }

    /// Returns whether a message is refused because it is from another fleet.
    pub fn refuses(&self, envelope: &Envelope) -> bool {
        envelope.is_from_other_fleet(&self.fleet)
    }
}
