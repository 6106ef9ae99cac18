//! Choices among members that all instances make alike.

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;

fn weight(key: &str, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), incarnation.as_u64())
}

/// Returns the member that ranks first for a key, by rendezvous hashing.
///
/// Where views differ two instances may both see themselves first; what they then do must be safe
/// when done twice.
pub fn highest_ranked<'a>(key: &str, members: &[&'a Member]) -> Option<&'a Member> {
    members
        .iter()
        .copied()
        .max_by_key(|member| weight(key, member.incarnation))
}

/// Returns how many members rank before one for a key, by rendezvous hashing.
pub fn rank(key: &str, of: Incarnation, members: &[&Member]) -> usize {
    let own = weight(key, of);
    members
        .iter()
        .filter(|member| weight(key, member.incarnation) > own)
        .count()
}

/// Returns the peers that hold receipts for an instance, in order of preference: other
/// availability zones first.
pub fn receipt_holders<'a>(me: &Member, members: &[&'a Member]) -> Vec<&'a Member> {
    let key = me.incarnation.to_string();
    let mut peers: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|peer| peer.incarnation != me.incarnation)
        .collect();
    peers.sort_by_key(|peer| {
        (
            peer.zone == me.zone,
            peer.leaving,
            weight(&key, peer.incarnation),
        )
    });
    peers
}

/// Returns up to `count` members for a caller: one of its zone first, the rest spread at random.
pub fn members_for_caller<'a>(
    zone: &str,
    members: &[&'a Member],
    count: usize,
    random: &mut fastrand::Rng,
) -> Vec<&'a Member> {
    let mut chosen: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|member| member.accepts_requests())
        .collect();
    random.shuffle(&mut chosen);
    chosen.sort_by_key(|member| &*member.zone != zone);
    let near = chosen
        .iter()
        .take_while(|member| &*member.zone == zone)
        .count();
    // A caller that loses its zone needs addresses of the others.
    if near > 1 {
        let tail = chosen.split_off(1);
        let mut rest: Vec<&Member> = tail;
        rest.sort_by_key(|member| &*member.zone == zone);
        chosen.extend(rest);
    }
    chosen.truncate(count);
    chosen
}
