//! Limits on unrated requests to an unproven version.

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum number of doublings of the cap.
const MAX_DOUBLINGS: usize = 10;

/// Returns the cap on unrated requests over all instances at a step.
///
/// The cap starts at `max_unrated` and doubles with each step that passed.
pub fn exposure_cap(max_unrated: u32, step: usize) -> u32 {
    max_unrated.saturating_mul(1 << step.min(MAX_DOUBLINGS))
}

/// Returns one instance's part of a cap, such that the parts sum to the cap.
///
/// Each instance gets an equal part. The remainder goes to the instances that rank first by a hash
/// with the roll-out's name, so that they need not exchange messages about it.
pub fn allowance(cap: u32, rollout: &str, me: Incarnation, members: &[Incarnation]) -> u32 {
    let count = members.len().max(1) as u32;
    let hash = |member: Incarnation| xxh3_64_with_seed(rollout.as_bytes(), member.as_u64());
    let own_hash = hash(me);
    let rank = members
        .iter()
        .filter(|member| hash(**member) < own_hash)
        .count() as u32;
    cap / count + u32::from(rank < cap % count)
}
