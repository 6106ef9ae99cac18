//! Between messages and the types of the other crates.

use catalog::{Digest, Object};
use kernel::Incarnation;
use member::{Member, Status};
use rollout::{Evidence, OutcomeCounts};
use wire::{ConfigDigest, EvidenceCounts, MemberInfo, ObjectEntry};

/// Writes a member.
pub fn member_to_wire(member: &Member) -> MemberInfo {
    MemberInfo {
        incarnation: member.incarnation.as_u64(),
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        http_addr: member.http_addr.to_string(),
        peer_addr: member.peer_addr.to_string(),
        started_ms: member.started_ms,
        version: member.version,
        status: member.status as u32,
        leaving: member.leaving,
    }
}

/// Reads a member.
pub fn member_from_wire(info: &MemberInfo) -> Member {
    Member {
        incarnation: Incarnation::from_u64(info.incarnation),
        name: info.name.as_str().into(),
        zone: info.zone.as_str().into(),
        http_addr: info.http_addr.as_str().into(),
        peer_addr: info.peer_addr.as_str().into(),
        started_ms: info.started_ms,
        version: info.version,
        status: match info.status {
            0 => Status::Alive,
            1 => Status::Suspect,
            _ => Status::Dead,
        },
        leaving: info.leaving,
    }
}

/// Writes a digest with the revision up to which nothing is missing.
pub fn digest_to_wire(digest: Digest, complete_revision: u64) -> ConfigDigest {
    ConfigDigest {
        count: digest.count,
        max_revision: digest.max_revision,
        hash: digest.hash,
        complete_revision,
    }
}

/// Returns whether two replicas hold the same objects.
pub fn same_objects(theirs: &ConfigDigest, mine: Digest) -> bool {
    let theirs = Digest {
        count: theirs.count,
        max_revision: theirs.max_revision,
        hash: theirs.hash,
    };
    theirs == mine
}

/// Returns the revision after which a peer has objects that this replica lacks.
pub fn missing_since(theirs: &ConfigDigest, mine: Digest) -> Option<u64> {
    if same_objects(theirs, mine) || theirs.count == 0 || theirs.max_revision < mine.max_revision {
        return None;
    }
    // With equal latest revisions something older is missing on one side.
    let gap = theirs.max_revision == mine.max_revision;
    Some(if gap { 0 } else { mine.max_revision })
}

/// Writes an object.
pub fn object_to_wire(object: &Object) -> ObjectEntry {
    let value = object
        .value
        .as_ref()
        .map(|value| serde_json::to_vec(value).unwrap_or_default());
    ObjectEntry {
        path: object.path.to_string(),
        revision: object.revision,
        value,
    }
}

/// Reads an object, or returns `None` when its value is not JSON.
pub fn object_from_wire(entry: &ObjectEntry) -> Option<Object> {
    let value = match &entry.value {
        Some(bytes) => Some(serde_json::from_slice(bytes).ok()?),
        None => None,
    };
    Some(Object {
        path: entry.path.as_str().into(),
        revision: entry.revision,
        value,
    })
}

/// Writes evidence.
pub fn evidence_to_wire(evidence: &Evidence) -> Vec<EvidenceCounts> {
    let mut classes = Vec::new();
    for (class, counts) in &evidence.classes {
        classes.push(EvidenceCounts {
            class: class.to_string(),
            good: counts.good,
            bad: counts.bad,
            answered: counts.answered,
            failed: counts.failed,
            slow: counts.slow,
        });
    }
    classes
}

/// Reads evidence.
pub fn evidence_from_wire(classes: &[EvidenceCounts]) -> Evidence {
    let mut evidence = Evidence::default();
    for counts in classes {
        let read = OutcomeCounts {
            good: counts.good,
            bad: counts.bad,
            answered: counts.answered,
            failed: counts.failed,
            slow: counts.slow,
        };
        evidence.classes.insert(counts.class.as_str().into(), read);
    }
    evidence
}
