//! How many requests may be on an unproven version without a rating.

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most doublings of the cap.
const MAX_DOUBLINGS: usize = 10;

/// Returns the cap over all instances at a step: it doubles with each step that passed.
pub fn exposure_cap(max_unrated: u32, step: usize) -> u32 {
    max_unrated.saturating_mul(1 << step.min(MAX_DOUBLINGS))
}

/// Returns one instance's part of a cap, such that the parts sum to the cap.
///
/// Each instance gets an equal part; what is left over goes to those that rank first by a hash
/// with the roll-out's name, so that no message is needed.
pub fn allowance(cap: u32, rollout: &str, me: Incarnation, members: &[Incarnation]) -> u32 {
    let count = members.len().max(1) as u32;
    let rank_of = |member: Incarnation| xxh3_64_with_seed(rollout.as_bytes(), member.as_u64());
    let mine = rank_of(me);
    let before = members
        .iter()
        .filter(|member| rank_of(**member) < mine)
        .count() as u32;
    cap / count + u32::from(before < cap % count)
}
