//! Identity of the runs of endpoints.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::Endpoint;
use crate::endpoint_protocol::Responder;

/// Identity of one run of one endpoint. A later run may have the same identifier.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Run {
    pub(crate) id: Arc<str>,
    pub(crate) started_ms: Option<u64>,
}

/// Whether a responder is a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Identity {
    Same,
    Other,
    /// The responder does not say enough of itself.
    Unknown,
}

impl Run {
    pub(crate) fn of(endpoint: &Endpoint) -> Run {
        Run {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
        }
    }

    /// Returns a hash that is the same on all instances.
    pub(crate) fn shared_hash(&self) -> u64 {
        xxh3_64(self.id.as_bytes()) ^ self.started_ms.unwrap_or_default()
    }

    /// Returns whether this is a later run under the identifier of another.
    pub(crate) fn follows(&self, earlier: &Run) -> bool {
        self.id == earlier.id
            && earlier.started_ms.is_some()
            && self.started_ms > earlier.started_ms
    }

    /// Returns whether a responder has the identifier of this run.
    pub(crate) fn has_id_of(&self, responder: &Responder) -> bool {
        !responder.is_misdirected && responder.id.as_deref() == Some(&*self.id)
    }

    /// Returns whether a responder is this run, by what it says of itself.
    pub(crate) fn identify(&self, responder: &Responder) -> Identity {
        let has_id = responder.id.as_deref().map(|id| *id == *self.id);
        let has_start = responder
            .started_ms
            .zip(self.started_ms)
            .map(|(said, known)| said == known);
        match (has_id, has_start) {
            _ if responder.is_misdirected => Identity::Other,
            (Some(false), _) | (_, Some(false)) => Identity::Other,
            (_, Some(true)) => Identity::Same,
            // The registry tells runs apart by their identifiers alone.
            (Some(true), None) if self.started_ms.is_none() => Identity::Same,
            _ => Identity::Unknown,
        }
    }
}
