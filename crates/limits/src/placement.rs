//! The choice of an endpoint for one request.
//!
//! It answers two loads: prompts whose shared parts are worth more than a short way, and plain
//! requests that are over sooner than a report about them could arrive.

use crate::outlier::Health;

/// How far above the mean load an endpoint may be and still take a prompt that it keeps; from the
/// bounded-load hashing of V. Mirrokni and others, 2018.
const KEPT_LOAD_FACTOR: f64 = 1.5;

/// How many endpoints a prompt part may be kept at.
const HOMES: usize = 2;

/// The load, as a share of the slots, that another zone adds: about one request on six slots.
const FAR_ZONE_PENALTY: f64 = 0.15;

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The work that it has in hand, in requests of usual size.
    pub load: f64,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Its recent time for a request relative to the others', where 1 is usual.
    pub latency_ratio: f64,
    /// Whether it is in the caller's availability zone.
    pub same_zone: bool,
    /// Whether its recent calls failed.
    pub health: Health,
    /// Its weight for the request's shared prompt part, equal at all instances; none without one.
    pub affinity: Option<u64>,
    /// Whether it can take one more request.
    pub has_capacity: bool,
}

impl Candidate {
    fn score(&self) -> f64 {
        let share = (self.load + 1.0) / f64::from(self.slots.max(1));
        let zone = if self.same_zone {
            0.0
        } else {
            FAR_ZONE_PENALTY
        };
        share * self.latency_ratio.max(0.1) + zone
    }

    fn weighted_load(&self) -> f64 {
        (self.load + 1.0) * self.latency_ratio.max(0.1)
    }
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// There is none.
    NoCandidate,
    /// None has room.
    Full,
}

/// Chooses the place of a request.
///
/// # Errors
///
/// Fails when there is no candidate with room. Candidates whose calls fail are passed over while
/// there are others.
pub fn place(
    candidates: &[Candidate],
    random: &mut fastrand::Rng,
) -> Result<usize, PlacementError> {
    if candidates.is_empty() {
        return Err(PlacementError::NoCandidate);
    }
    let with_room: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].has_capacity)
        .collect();
    if with_room.is_empty() {
        return Err(PlacementError::Full);
    }
    let healthy: Vec<usize> = with_room
        .iter()
        .copied()
        .filter(|index| candidates[*index].health == Health::Usable)
        .collect();
    let open = if healthy.is_empty() {
        with_room
    } else {
        healthy
    };
    if let Some(home) = home(candidates, &open) {
        return Ok(home);
    }
    Ok(least(candidates, &open, random))
}

/// Returns the less loaded of the endpoints that keep the prompt part, unless both are far above
/// the mean.
fn home(candidates: &[Candidate], open: &[usize]) -> Option<usize> {
    let mut ranked: Vec<usize> = open.to_vec();
    ranked.retain(|index| candidates[*index].affinity.is_some());
    ranked.sort_by_key(|index| std::cmp::Reverse(candidates[*index].affinity));
    ranked.truncate(HOMES);
    let total: f64 = open.iter().map(|index| candidates[*index].load).sum();
    let bound = (total / open.len() as f64 + 1.0) * KEPT_LOAD_FACTOR;
    // The first home goes before the second while it is not much busier, so that parts stay in
    // one place as long as one place is enough.
    ranked
        .into_iter()
        .find(|index| candidates[*index].weighted_load() <= bound)
}

fn least(candidates: &[Candidate], open: &[usize], random: &mut fastrand::Rng) -> usize {
    let mut best = open[0];
    let mut best_score = f64::INFINITY;
    for index in open {
        // A little noise keeps instances that see the same from choosing the same.
        let score = candidates[*index].score() * (1.0 + 0.05 * random.f64());
        if score < best_score {
            best = *index;
            best_score = score;
        }
    }
    best
}
