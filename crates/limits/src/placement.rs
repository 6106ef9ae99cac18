//! Placement of a request on an endpoint.
//!
//! It handles two kinds of load: prompts for which a cached prefix saves more time than a short
//! network path, and plain requests that end before a load report about them could arrive.

use crate::outlier::Health;

/// Load, relative to the mean, up to which an endpoint receives prompts whose prefix it caches;
/// from consistent hashing with bounded loads (V. Mirrokni and others, 2018).
const PREFIX_LOAD_FACTOR: f64 = 1.5;

/// Number of endpoints that cache the same prompt prefix.
const PREFIX_REPLICAS: usize = 2;

/// Load, as a share of the slots, that is added to the score of an endpoint in another zone: about
/// one request on six slots.
const CROSS_ZONE_PENALTY: f64 = 0.15;

/// Snapshot of one endpoint's state for the placement of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Load of this instance's requests on the endpoint, in units of
    /// [`RequestLoad`](crate::RequestLoad).
    pub load: f64,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Recent latency relative to the service's baseline, where 1 is the baseline.
    pub latency_ratio: f64,
    /// Whether the endpoint is in this instance's availability zone.
    pub same_zone: bool,
    /// Whether the endpoint is healthy or ejected.
    pub health: Health,
    /// Rendezvous weight for the request's prompt prefix, equal on all instances; `None`
    /// without prefix affinity.
    pub affinity: Option<u64>,
    /// Whether this instance may open one more connection to the endpoint.
    pub has_capacity: bool,
}

impl Candidate {
    fn score(&self) -> f64 {
        let share = (self.load + 1.0) / f64::from(self.slots.max(1));
        let zone = if self.same_zone {
            0.0
        } else {
            CROSS_ZONE_PENALTY
        };
        share * self.latency_ratio.max(0.1) + zone
    }

    fn weighted_load(&self) -> f64 {
        (self.load + 1.0) * self.latency_ratio.max(0.1)
    }
}

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// There is no candidate.
    NoCandidate,
    /// No candidate has capacity.
    Full,
}

/// Selects an endpoint for a request and returns its index.
///
/// Ejected candidates are selected only if no healthy one has capacity.
///
/// # Errors
///
/// Fails when there is no candidate, or none with capacity.
pub fn place(
    candidates: &[Candidate],
    random: &mut fastrand::Rng,
) -> Result<usize, PlacementError> {
    if candidates.is_empty() {
        return Err(PlacementError::NoCandidate);
    }
    let with_capacity: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].has_capacity)
        .collect();
    if with_capacity.is_empty() {
        return Err(PlacementError::Full);
    }
    let healthy: Vec<usize> = with_capacity
        .iter()
        .copied()
        .filter(|index| candidates[*index].health == Health::Usable)
        .collect();
    let open = if healthy.is_empty() {
        with_capacity
    } else {
        healthy
    };
    if let Some(index) = prefix_endpoint(candidates, &open) {
        return Ok(index);
    }
    Ok(least_loaded(candidates, &open, random))
}

/// Returns the first endpoint that caches the prompt prefix and is not far above the mean load.
fn prefix_endpoint(candidates: &[Candidate], open: &[usize]) -> Option<usize> {
    let mut ranked: Vec<usize> = open.to_vec();
    ranked.retain(|index| candidates[*index].affinity.is_some());
    ranked.sort_by_key(|index| std::cmp::Reverse(candidates[*index].affinity));
    ranked.truncate(PREFIX_REPLICAS);
    let total: f64 = open.iter().map(|index| candidates[*index].load).sum();
    let bound = (total / open.len() as f64 + 1.0) * PREFIX_LOAD_FACTOR;
    // The second replica is used only once the first is over the bound, so that a prefix occupies
    // the cache of one endpoint as long as one is enough.
    ranked
        .into_iter()
        .find(|index| candidates[*index].weighted_load() <= bound)
}

fn least_loaded(candidates: &[Candidate], open: &[usize], random: &mut fastrand::Rng) -> usize {
    let mut best = open[0];
    let mut best_score = f64::INFINITY;
    for index in open {
        // Noise prevents instances with equal views from all selecting the same endpoint.
        let score = candidates[*index].score() * (1.0 + 0.05 * random.f64());
        if score < best_score {
            best = *index;
            best_score = score;
        }
    }
    best
}
