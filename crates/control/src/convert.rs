//! Conversions between wire messages and the types of the other crates.

use catalog::{Digest, Object};
use kernel::Incarnation;
use limits::{Crash, CrashBlock, CrashHistory, CrashReport, Subject};
use member::{Member, Status};
use rollout::{Evidence, OutcomeCounts, TimeHistogram};
use wire::{ClassOutcomes, ConfigDigest, MemberInfo, ObjectEntry};

/// Converts a member to its wire message.
pub fn member_to_wire(member: &Member) -> MemberInfo {
    MemberInfo {
        incarnation: member.incarnation.as_u64(),
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        http_addr: member.http_addr.to_string(),
        peer_addr: member.peer_addr.to_string(),
        carry_addr: member.carry_addr.to_string(),
        started_ms: member.started_ms,
        version: member.version,
        status: member.status as u32,
        leaving: member.leaving,
        lost_store: member.lost_store,
    }
}

/// Converts a wire message to a member. An unknown status counts as dead.
pub fn member_from_wire(info: &MemberInfo) -> Member {
    Member {
        incarnation: Incarnation::from_u64(info.incarnation),
        name: info.name.as_str().into(),
        zone: info.zone.as_str().into(),
        http_addr: info.http_addr.as_str().into(),
        peer_addr: info.peer_addr.as_str().into(),
        carry_addr: info.carry_addr.as_str().into(),
        started_ms: info.started_ms,
        version: info.version,
        status: match info.status {
            0 => Status::Alive,
            1 => Status::Suspect,
            _ => Status::Dead,
        },
        leaving: info.leaving,
        lost_store: info.lost_store,
    }
}

/// Converts a digest to its wire message, with the revision up to which the replica is complete.
pub fn digest_to_wire(digest: Digest, complete_revision: u64) -> ConfigDigest {
    ConfigDigest {
        count: digest.count,
        max_revision: digest.max_revision,
        hash: digest.hash,
        complete_revision,
        kind: String::new(),
        era: 0,
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
    // Equal latest revisions with different digests: one side lacks an older object.
    let gap = theirs.max_revision == mine.max_revision;
    Some(if gap { 0 } else { mine.max_revision })
}

/// Converts an object to its wire message, with the value as JSON.
pub fn object_to_wire(object: &Object) -> ObjectEntry {
    let value = object
        .value
        .as_ref()
        .map(|value| serde_json::to_vec(value).unwrap_or_default());
    ObjectEntry {
        path: object.path.to_string(),
        revision: object.revision,
        value,
        compressed_value: None,
    }
}

/// Converts a wire message to an object, or returns `None` when the value is not JSON.
pub fn object_from_wire(entry: &ObjectEntry) -> Option<Object> {
    let value = match (&entry.value, &entry.compressed_value) {
        (Some(bytes), _) => Some(serde_json::from_slice(bytes).ok()?),
        (None, Some(bytes)) => {
            let bytes = wire::decompress(bytes).ok()?;
            Some(serde_json::from_slice(&bytes).ok()?)
        }
        (None, None) => None,
    };
    Some(Object {
        path: entry.path.as_str().into(),
        revision: entry.revision,
        value,
    })
}

/// Converts evidence to one wire message per request class.
pub fn evidence_to_wire(evidence: &Evidence) -> Vec<ClassOutcomes> {
    let mut messages = Vec::new();
    for (class, counts) in &evidence.classes {
        messages.push(ClassOutcomes {
            class: class.to_string(),
            good: counts.good,
            bad: counts.bad,
            answered: counts.answered,
            failed: counts.failed,
            slow: counts.slow,
            times: histogram_to_wire(&counts.times),
            paces: histogram_to_wire(&counts.paces),
        });
    }
    messages
}

/// Converts wire messages, one per request class, to evidence.
pub fn evidence_from_wire(classes: &[ClassOutcomes]) -> Evidence {
    let mut evidence = Evidence::default();
    for counts in classes {
        let class_counts = OutcomeCounts {
            good: counts.good,
            bad: counts.bad,
            answered: counts.answered,
            failed: counts.failed,
            slow: counts.slow,
            times: histogram_from_wire(&counts.times),
            paces: histogram_from_wire(&counts.paces),
        };
        evidence
            .classes
            .insert(counts.class.as_str().into(), class_counts);
    }
    evidence
}

fn histogram_to_wire(histogram: &TimeHistogram) -> Vec<u64> {
    let last = histogram.counts.iter().rposition(|count| *count > 0);
    let used = last.map_or(0, |last| last + 1);
    histogram.counts[..used].to_vec()
}

/// Converts counts by time; a peer of another build may send more buckets, which are left out.
fn histogram_from_wire(counts: &[u64]) -> TimeHistogram {
    let mut histogram = TimeHistogram::default();
    for (held, count) in histogram.counts.iter_mut().zip(counts) {
        *held = *count;
    }
    histogram
}

/// Converts what is known of a request or prompt part to its wire message, with ages at `now_ms`.
pub(crate) fn crash_to_wire(report: &CrashReport, now_ms: u64) -> wire::CrashReport {
    let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
    let history = &report.history;
    let crashes = history.crashes();
    let left_ms = |block: CrashBlock| block.until_ms as i64 - now_ms as i64;
    let (is_request, subject) = match history.subject() {
        Subject::Request(hash) => (true, hash),
        Subject::Part(hash) => (false, hash),
    };
    wire::CrashReport {
        subject,
        is_request,
        crash_ages_ms: crashes.iter().map(|crash| age_ms(crash.at_ms)).collect(),
        crash_endpoints: crashes.iter().map(|crash| crash.endpoint).collect(),
        survival_age_ms: history.survived_ms().map(age_ms),
        block_left_ms: report.block.map(left_ms),
        block_length_ms: report.block.map_or(0, |block| block.length_ms),
    }
}

/// Converts a wire message on a request or prompt part that arrived at `received_ms`. A peer of an
/// older build names no endpoints.
pub(crate) fn crash_from_wire(report: &wire::CrashReport, received_ms: u64) -> CrashReport {
    let at_ms = |age_ms: u64| received_ms.saturating_sub(age_ms);
    let mut history = CrashHistory::new(if report.is_request {
        Subject::Request(report.subject)
    } else {
        Subject::Part(report.subject)
    });
    history.add_survival(report.survival_age_ms.map(at_ms));
    for (index, age_ms) in report.crash_ages_ms.iter().enumerate() {
        let endpoint = report.crash_endpoints.get(index);
        history.add_crash(Crash {
            endpoint: endpoint.copied().unwrap_or_default(),
            at_ms: at_ms(*age_ms),
        });
    }
    let block = |left_ms: i64| CrashBlock {
        until_ms: received_ms.saturating_add_signed(left_ms),
        length_ms: report.block_length_ms,
    };
    CrashReport {
        history,
        block: report.block_left_ms.map(block),
    }
}
