//! Load balancing over a pool's endpoints: power of two choices, and prefix affinity.

use kernel::Priority;

use crate::admission::Admission;
use crate::outlier::Health;

/// The largest share of a pool that outlier ejection may remove.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Load, as a share of the slots, that is added to the score of an endpoint in another zone.
const CROSS_ZONE_PENALTY: f64 = 0.15;

/// Snapshot of one endpoint's state for load balancing.
#[derive(Debug, Clone, Copy)]
pub struct EndpointView {
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Running and queued requests from all callers, as last reported by the endpoint.
    pub reported_load: u32,
    /// Requests of this instance in flight when the endpoint made that report.
    pub in_flight_at_report: u32,
    /// Recent latency relative to the pool's mean, where 1 is the mean.
    pub latency_ratio: f64,
    /// Whether the endpoint is in this instance's availability zone.
    pub same_zone: bool,
    /// Whether the endpoint accepts new requests.
    pub serving: bool,
    /// Result of outlier detection.
    pub health: Health,
}

impl EndpointView {
    /// Returns the estimated number of requests on the endpoint now.
    ///
    /// The report is stale, so this instance's calls that started or ended since are added or
    /// subtracted.
    pub fn load(&self) -> f64 {
        let reported = f64::from(self.reported_load);
        let change = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        (reported + change).max(f64::from(self.in_flight))
    }

    fn score(&self) -> f64 {
        let share = (self.load() + 1.0) / f64::from(self.slots.max(1));
        let zone = if self.same_zone {
            0.0
        } else {
            CROSS_ZONE_PENALTY
        };
        share * self.latency_ratio.max(0.1) + zone
    }
}

/// Result of [`choose`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Index of the selected endpoint.
    Endpoint(usize),
    /// No usable endpoint admits the request.
    Full,
    /// No endpoint accepts requests.
    None,
}

/// Selects the better of two random endpoints that admit the request.
///
/// `exclude` lists the indexes of endpoints at which this request was tried before.
pub fn choose(
    views: &[EndpointView],
    priority: Priority,
    admission: &Admission,
    exclude: &[usize],
    random: &mut fastrand::Rng,
) -> Choice {
    let usable = usable(views, exclude);
    if usable.is_empty() {
        return Choice::None;
    }
    let admits =
        |index: &usize| admission.admits(priority, views[*index].load(), views[*index].slots);
    let open: Vec<usize> = usable.into_iter().filter(admits).collect();
    match open.len() {
        0 => Choice::Full,
        1 => Choice::Endpoint(open[0]),
        count => {
            let first = random.usize(..count);
            let second = (first + 1 + random.usize(..count - 1)) % count;
            let (left, right) = (open[first], open[second]);
            let better = if views[left].score() <= views[right].score() {
                left
            } else {
                right
            };
            Choice::Endpoint(better)
        }
    }
}

/// Selects the endpoint that a prompt prefix maps to, if its load is at most `load_factor` times
/// one more than the mean.
///
/// `weights` gives the prefix's weight for an endpoint. Rendezvous hashing keeps the mapping of
/// most prefixes when endpoints are added or removed.
pub fn choose_by_prefix(
    views: &[EndpointView],
    weights: impl Fn(usize) -> u64,
    priority: Priority,
    admission: &Admission,
    load_factor: f64,
) -> Option<usize> {
    let usable = usable(views, &[]);
    if usable.is_empty() {
        return None;
    }
    let total: f64 = usable.iter().map(|index| views[*index].load()).sum();
    let bound = (total / usable.len() as f64 + 1.0) * load_factor;
    let best = usable.into_iter().max_by_key(|index| weights(*index))?;
    let view = &views[best];
    let open = view.load() <= bound && admission.admits(priority, view.load(), view.slots);
    open.then_some(best)
}

/// Returns the eligible endpoints; ejected ones too, if more than the allowed share is ejected.
fn usable(views: &[EndpointView], exclude: &[usize]) -> Vec<usize> {
    let serving = |index: &usize| views[*index].serving && !exclude.contains(index);
    let serving: Vec<usize> = (0..views.len()).filter(serving).collect();
    let healthy = |index: &usize| views[*index].health == Health::Usable;
    let healthy: Vec<usize> = serving.iter().copied().filter(healthy).collect();
    let ejected = serving.len() - healthy.len();
    if ejected as f64 > serving.len() as f64 * MAX_EJECTED_SHARE {
        return serving;
    }
    healthy
}
