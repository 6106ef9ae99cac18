//! A random part of the candidates for one placement.
//!
//! It answers many instances that place by the same loads, which are out of date: with all
//! candidates in view, all instances would choose the one that was least loaded a while ago.

use crate::outlier::Health;
use crate::placement::{CACHED_CHANCES, Candidate};

/// Random candidates in the list, by whether they are in the same availability zone.
const SAME_ZONE_CHOICES: usize = 4;
const OTHER_ZONE_CHOICES: usize = 1;

/// Returns the indexes of the candidates that may cache the shared prefix and of some random ones.
///
/// Returns all indexes if no healthy candidate has capacity.
pub fn shortlist(candidates: &[Candidate], random: &mut fastrand::Rng) -> Vec<usize> {
    let mut open: Vec<usize> = (0..candidates.len()).collect();
    open.retain(|index| {
        let candidate = &candidates[*index];
        candidate.has_capacity && candidate.health == Health::Usable
    });
    if open.is_empty() {
        return (0..candidates.len()).collect();
    }
    open.sort_by_key(|index| std::cmp::Reverse(candidates[*index].affinity));
    let mut chosen = Vec::new();
    let mut rest = Vec::new();
    for index in open {
        if chosen.len() < CACHED_CHANCES.len() && candidates[index].affinity.is_some() {
            chosen.push(index);
        } else {
            rest.push(index);
        }
    }
    random.shuffle(&mut rest);
    for (same_zone, choices) in [(true, SAME_ZONE_CHOICES), (false, OTHER_ZONE_CHOICES)] {
        let in_zone = rest
            .iter()
            .filter(|index| candidates[**index].same_zone == same_zone);
        chosen.extend(in_zone.take(choices));
    }
    chosen
}
