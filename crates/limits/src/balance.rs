//! The choice among a pool's endpoints.

use kernel::Priority;

use crate::admission::Admission;
use crate::outlier::Health;

/// The largest share of a pool that outlier ejection may take away.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// The load, as a share of the slots, that a far zone adds to an endpoint's score.
const FAR_ZONE_PENALTY: f64 = 0.15;

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointView {
    /// How many requests it runs at once.
    pub slots: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// The requests that it reported last, running and queued, from all callers.
    pub reported_load: u32,
    /// Own requests in flight when that report was made.
    pub in_flight_at_report: u32,
    /// Recent time of a call relative to the pool's, where 1 is usual.
    pub latency_ratio: f64,
    /// Whether it is in the caller's availability zone.
    pub same_zone: bool,
    /// Whether it takes new work.
    pub serving: bool,
    /// Whether its recent calls failed.
    pub health: Health,
}

impl EndpointView {
    /// Returns the estimated number of requests on the endpoint now.
    ///
    /// The report is late: own calls since then are added, and finished ones taken off.
    pub fn load(&self) -> f64 {
        let reported = f64::from(self.reported_load);
        let since = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        (reported + since).max(f64::from(self.in_flight))
    }

    fn score(&self) -> f64 {
        let share = (self.load() + 1.0) / f64::from(self.slots.max(1));
        let zone = if self.same_zone {
            0.0
        } else {
            FAR_ZONE_PENALTY
        };
        share * self.latency_ratio.max(0.1) + zone
    }
}

/// The outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The endpoint at this index.
    Endpoint(usize),
    /// All usable endpoints are full.
    Full,
    /// No endpoint takes work.
    None,
}

/// Chooses the better of two random endpoints that have room.
///
/// Only endpoints that the priority class still fits into take part; `exclude` names those that
/// this request tried before.
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
    let fits =
        |index: &usize| admission.admits(priority, views[*index].load(), views[*index].slots);
    let open: Vec<usize> = usable.into_iter().filter(fits).collect();
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

/// Chooses the endpoint that a prompt prefix maps to, if its load is within a bound of the mean.
///
/// Rendezvous hashing keeps most prefixes in place when endpoints come and go.
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

/// Returns the endpoints that may be chosen, sparing the ejected while enough others are left.
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
