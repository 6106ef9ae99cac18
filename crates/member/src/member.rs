//! Membership record of one instance.

use std::sync::Arc;

use kernel::Incarnation;

/// Liveness of an instance; a later status supersedes an earlier one of the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Missed a probe.
    Suspect,
    /// Suspect beyond the timeout, or replaced by a later incarnation.
    Dead,
}

/// State of one incarnation of an instance, as held by one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifier of this run of the instance.
    pub incarnation: Incarnation,
    /// Configured name of the instance.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Address for callers.
    pub http_addr: Arc<str>,
    /// Address for gossip with peers.
    pub peer_addr: Arc<str>,
    /// Address for requests that peers cannot serve themselves, or empty.
    pub carry_addr: Arc<str>,
    /// When the incarnation started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Incremented only by the instance itself, when it refutes a suspicion, starts to leave, or loses or
    /// regains the store.
    pub version: u64,
    /// Liveness as observed by the peers.
    pub status: Status,
    /// Whether the instance is leaving; never reset within an incarnation.
    pub leaving: bool,
    /// Whether the store does not answer the instance's calls, as far as it called lately.
    pub lost_store: bool,
}

impl Member {
    /// Creates a live member without addresses and start time.
    pub fn new(incarnation: Incarnation, name: &str, zone: &str) -> Member {
        Member {
            incarnation,
            name: name.into(),
            zone: zone.into(),
            http_addr: "".into(),
            peer_addr: "".into(),
            carry_addr: "".into(),
            started_ms: 0,
            version: 0,
            status: Status::Alive,
            leaving: false,
            lost_store: false,
        }
    }

    /// Sets the addresses for callers and for peers.
    pub fn with_addresses(mut self, http_addr: &str, peer_addr: &str) -> Member {
        self.http_addr = http_addr.into();
        self.peer_addr = peer_addr.into();
        self
    }

    /// Sets the address for requests that peers cannot serve themselves.
    pub fn with_carry_addr(mut self, carry_addr: &str) -> Member {
        self.carry_addr = carry_addr.into();
        self
    }

    /// Sets the start time, in milliseconds since the Unix epoch.
    pub fn with_started_ms(mut self, started_ms: u64) -> Member {
        self.started_ms = started_ms;
        self
    }

    /// Returns whether the instance accepts new callers.
    pub fn accepts_requests(&self) -> bool {
        self.status == Status::Alive && !self.leaving
    }

    /// Returns whether this state replaces the other.
    pub(crate) fn supersedes(&self, other: &Member) -> bool {
        (self.version, self.status) > (other.version, other.status)
    }
}
