//! What is known of one instance.

use std::sync::Arc;

use kernel::Incarnation;

/// Whether an instance answers probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// It does.
    Alive,
    /// It missed a probe.
    Suspect,
    /// It was suspect for too long, or another incarnation took its place.
    Dead,
}

/// One incarnation of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The instance's name.
    pub name: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub http_addr: Arc<str>,
    /// Where peers connect.
    pub peer_addr: Arc<str>,
    /// When the incarnation started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Raised by the instance itself when it refutes a suspicion or starts to leave.
    pub version: u64,
    /// The status.
    pub status: Status,
    /// Whether the instance is leaving, which it never takes back.
    pub leaving: bool,
}

impl Member {
    /// Makes a live member without addresses.
    pub fn new(incarnation: Incarnation, name: &str, zone: &str) -> Member {
        Member {
            incarnation,
            name: name.into(),
            zone: zone.into(),
            http_addr: "".into(),
            peer_addr: "".into(),
            started_ms: 0,
            version: 0,
            status: Status::Alive,
            leaving: false,
        }
    }

    /// Sets the addresses.
    pub fn with_addresses(mut self, http_addr: &str, peer_addr: &str) -> Member {
        self.http_addr = http_addr.into();
        self.peer_addr = peer_addr.into();
        self
    }

    /// Sets the start time.
    pub fn with_started_ms(mut self, started_ms: u64) -> Member {
        self.started_ms = started_ms;
        self
    }

    /// Returns whether the instance takes new callers.
    pub fn accepts_requests(&self) -> bool {
        self.status == Status::Alive && !self.leaving
    }

    /// Returns whether this knowledge replaces the other.
    pub(crate) fn supersedes(&self, other: &Member) -> bool {
        (self.version, self.status) > (other.version, other.status)
    }
}
