//! Placement of a request on an endpoint.
//!
//! It answers three kinds of load: prompts, for which the wait behind others is weighed against reading
//! a prefix again, plain requests that end before a load report about them could arrive, and long
//! answers of endpoints that differ in speed.

use crate::outlier::Health;

/// Chance that the first, second and further endpoints by affinity cache a shared prefix.
pub(crate) const CACHED_CHANCES: [f64; 2] = [1.0, 0.5];

/// Weight of the prefill of a shared prefix that is not cached. It takes the time of other requests
/// too, and evicts other prefixes.
const REPEATED_PREFILL_WEIGHT: f64 = 6.0;

/// Load, as a share of the slots, that is added to the score of an endpoint in another zone: about
/// one request on six slots.
const CROSS_ZONE_PENALTY: f64 = 0.15;

/// Weight of the time of the request's own run, beside that of the load, at endpoints of learned
/// speeds. In a simulated fleet at a quarter to nine tenths of its capacity, larger weights had requests
/// wait at fast endpoints while slow ones had free slots.
const OWN_RUN_WEIGHT: f64 = 0.25;

/// Share of the slots from which a request may have to wait for a free one, as loads are known late,
/// and the weight of the load above it at endpoints of learned speeds.
const SCARCE_SLOT_SHARE: f64 = 0.8;
const SCARCE_SLOT_WEIGHT: f64 = 2.0;

/// Snapshot of one endpoint's state for the placement of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Load of the known requests on the endpoint, in units of
    /// [`RequestLoad`](crate::RequestLoad).
    pub load: f64,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Recent latency relative to the service's baseline, where 1 is the baseline.
    pub latency_ratio: f64,
    /// Learned time for the same work relative to the other endpoints, which takes the place of
    /// `latency_ratio`; `None` if it is not known or the endpoint is like the others.
    pub time_ratio: Option<f64>,
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

/// Load of a request's own prompt until its response starts, in units of
/// [`RequestLoad`](crate::RequestLoad).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptLoad {
    /// Load of the part that no other request shares.
    pub new: f64,
    /// Load of the prefix that other requests share, where it is not cached.
    pub shared: f64,
}

impl Candidate {
    /// Returns the expected time to the end of the request, by the load that it meets and adds as a
    /// share of the slots, with the cost of a longer path. Smaller is better; `noise` is a factor.
    fn score(&self, prompt_load: f64, noise: f64) -> f64 {
        let share = (self.load + prompt_load + 1.0) / f64::from(self.slots.max(1));
        let zone = if self.same_zone {
            0.0
        } else {
            CROSS_ZONE_PENALTY
        };
        let Some(time_ratio) = self.time_ratio else {
            return (share * self.latency_ratio.max(0.1) + zone) * noise;
        };
        let scarcity = (share - SCARCE_SLOT_SHARE).max(0.0) * SCARCE_SLOT_WEIGHT;
        let time = (share + OWN_RUN_WEIGHT) * time_ratio.max(0.1);
        // Beside endpoints without a learned speed, only the difference to the usual run counts.
        (time + scarcity + zone) * noise - OWN_RUN_WEIGHT
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

/// The candidate selected for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Selected {
    /// Index of the candidate.
    pub index: usize,
    /// Expected load of the request's prompt there.
    pub prompt_load: f64,
}

/// Selects an endpoint for a request.
///
/// Ejected candidates are selected only if no healthy one has capacity.
///
/// # Errors
///
/// Fails when there is no candidate, or none with capacity.
pub fn place(
    candidates: &[Candidate],
    prompt: &PromptLoad,
    random: &mut fastrand::Rng,
) -> Result<Selected, PlacementError> {
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
    let uncached = uncached_shares(candidates, &open);
    let mut best_score = f64::INFINITY;
    let mut best = Selected {
        index: open[0],
        prompt_load: prompt.new + prompt.shared,
    };
    for (index, uncached) in open.into_iter().zip(uncached) {
        let repeated = prompt.shared * uncached;
        let prompt_load = prompt.new + repeated * REPEATED_PREFILL_WEIGHT;
        // Noise prevents instances with equal views from all selecting the same endpoint.
        let noise = 1.0 + 0.05 * random.f64();
        let score = candidates[index].score(prompt_load, noise);
        if score < best_score {
            best_score = score;
            best = Selected {
                index,
                prompt_load: prompt.new + repeated,
            };
        }
    }
    Ok(best)
}

/// Returns the share of the request's shared prefix that each open candidate has to read.
fn uncached_shares(candidates: &[Candidate], open: &[usize]) -> Vec<f64> {
    let affinity = |index: &usize| candidates[*index].affinity;
    let mut shares = Vec::with_capacity(open.len());
    for index in open {
        let Some(own) = affinity(index) else {
            shares.push(1.0);
            continue;
        };
        let rank = open
            .iter()
            .filter(|other| affinity(other) > Some(own))
            .count();
        let cached = CACHED_CHANCES.get(rank).copied().unwrap_or_default();
        shares.push(1.0 - cached);
    }
    shares
}
