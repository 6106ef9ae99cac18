//! Selection of members by rendezvous hashing and by zone.

use std::collections::BTreeMap;

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;

/// Times the fewest watchers of the store that watch, one after the other until the store answers one of
/// them.
const WATCHER_FACTORS: [usize; 3] = [1, 2, 4];

fn weight(key: &str, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), incarnation.as_u64())
}

/// Returns the member that ranks highest for a key, by rendezvous hashing.
///
/// While views differ, two instances may both rank themselves highest, so what they then do must be
/// idempotent.
pub fn highest_ranked<'a>(key: &str, members: &[&'a Member]) -> Option<&'a Member> {
    members
        .iter()
        .copied()
        .max_by_key(|member| weight(key, member.incarnation))
}

/// Returns how many members rank higher than one for a key, by rendezvous hashing.
pub fn rank(key: &str, incarnation: Incarnation, members: &[&Member]) -> usize {
    let own = weight(key, incarnation);
    members
        .iter()
        .filter(|member| weight(key, member.incarnation) > own)
        .count()
}

/// Returns the peers that store receipts for the local instance, in order of preference: other
/// availability zones first.
pub fn receipt_holders<'a>(local: &Member, members: &[&'a Member]) -> Vec<&'a Member> {
    let key = local.incarnation.to_string();
    let mut peers: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|peer| peer.incarnation != local.incarnation)
        .collect();
    peers.sort_by_key(|peer| {
        (
            peer.zone == local.zone,
            peer.leaving,
            weight(&key, peer.incarnation),
        )
    });
    peers
}

/// Returns up to `count` members, in rounds that take the next one of each availability zone, so
/// that the loss of a zone leaves some. The order of `members` decides within a zone.
pub fn spread_over_zones<'a>(members: &[&'a Member], count: usize) -> Vec<&'a Member> {
    let mut taken_per_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut rounds = Vec::new();
    for member in members {
        let taken = taken_per_zone.entry(&member.zone).or_default();
        rounds.push((*taken, *member));
        *taken += 1;
    }
    // The sort is stable, so the order of `members` remains within a round.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.truncate(count);
    rounds.into_iter().map(|(_, member)| member).collect()
}

/// Returns the members of a large fleet that watch the store, from those alive in order of rank: the
/// fewest possible, or more if the store answers none of those.
///
/// It answers a store that turns away some instances. The others are left out as long as one watcher
/// hears of changes, since each one calls the store for all that it holds when it begins.
pub fn store_watchers<'a>(alive: &[&'a Member], fewest: usize) -> Vec<&'a Member> {
    for factor in WATCHER_FACTORS {
        let watchers = spread_over_zones(alive, factor * fewest);
        if watchers.iter().any(|member| !member.lost_store) {
            return watchers;
        }
    }
    // The store is away for all.
    spread_over_zones(alive, fewest)
}

/// Returns up to `count` members for a caller: one of its zone first, then those of other zones,
/// then the rest, each group in random order.
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
    let in_zone = chosen
        .iter()
        .take_while(|member| &*member.zone == zone)
        .count();
    // If the caller's zone fails, the caller needs addresses in the others.
    if in_zone > 1 {
        let tail = chosen.split_off(1);
        let mut rest: Vec<&Member> = tail;
        rest.sort_by_key(|member| &*member.zone == zone);
        chosen.extend(rest);
    }
    chosen.truncate(count);
    chosen
}
