//! One instance's share of a workspace's quota.

/// The weight of the latest sample in the demand.
const DEMAND_WEIGHT: f64 = 0.4;

/// How fast the mean forgets what a lost message left wrong, per sample.
const LEAK: f64 = 0.05;

/// How often over the room that is left is handed out, since few instances use their part of it.
const HEADROOM_FACTOR: f64 = 2.0;

/// The part of an equal split that an instance keeps when others ask for all.
const FLOOR_SHARE: f64 = 0.05;

/// How long an instance trusts the mean without hearing a peer, in milliseconds.
const TRUST_MS: u64 = 5_000;

/// One instance's share of a quota that all instances keep together.
///
/// Instances average their demand in pairs, so that each knows the mean without a table of all.
/// Above the quota each gets a part in proportion to its demand; below it each gets its demand and a
/// part of the room that is left. The sum may exceed the quota by a factor of two until the mean
/// has followed a rise in demand. An instance that hears no peer keeps to an equal split.
///
/// # Examples
///
/// ```
/// use limits::QuotaShare;
///
/// let mut busy = QuotaShare::new(10.0, 2);
/// let mut idle = QuotaShare::new(10.0, 2);
/// for _ in 0..20 {
///     busy.record_demand(9.0);
///     idle.record_demand(0.0);
///     let mean = idle.average_with(busy.mean_per_s(), 0);
///     busy.apply_average(mean, 0);
/// }
/// assert!(busy.rate_per_s(0) > 9.0);
/// ```
#[derive(Debug, Clone)]
pub struct QuotaShare {
    quota_per_s: f64,
    members: f64,
    demand_per_s: f64,
    mean_per_s: f64,
    heard_ms: Option<u64>,
}

impl QuotaShare {
    /// Starts with an equal split.
    pub fn new(quota_per_s: f64, members: usize) -> QuotaShare {
        let members = members.max(1) as f64;
        QuotaShare {
            quota_per_s,
            members,
            demand_per_s: 0.0,
            mean_per_s: 0.0,
            heard_ms: None,
        }
    }

    /// Takes in a changed quota or number of members.
    pub fn set_quota(&mut self, quota_per_s: f64, members: usize) {
        self.quota_per_s = quota_per_s;
        self.members = members.max(1) as f64;
    }

    /// Notes how many requests a second were asked for lately.
    pub fn record_demand(&mut self, asked_per_s: f64) {
        let before = self.demand_per_s;
        self.demand_per_s += DEMAND_WEIGHT * (asked_per_s - self.demand_per_s);
        self.mean_per_s += self.demand_per_s - before;
        self.mean_per_s += LEAK * (self.demand_per_s - self.mean_per_s);
    }

    /// Returns the own view of the mean demand, to be told to a peer.
    pub fn mean_per_s(&self) -> f64 {
        self.mean_per_s
    }

    /// Averages with a peer that asks, and returns the average for its answer.
    pub fn average_with(&mut self, their_mean_per_s: f64, now_ms: u64) -> f64 {
        self.mean_per_s = (self.mean_per_s + their_mean_per_s) / 2.0;
        self.heard_ms = Some(now_ms);
        self.mean_per_s
    }

    /// Takes in the average that a peer answered.
    pub fn apply_average(&mut self, average_per_s: f64, now_ms: u64) {
        self.mean_per_s = average_per_s;
        self.heard_ms = Some(now_ms);
    }

    /// Returns the rate in force, in requests a second.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let equal = self.quota_per_s / self.members;
        let trusted = self
            .heard_ms
            .is_some_and(|heard_ms| now_ms < heard_ms + TRUST_MS);
        if !trusted || self.members <= 1.0 {
            return equal;
        }
        let total = (self.mean_per_s * self.members).max(self.demand_per_s);
        if total <= self.quota_per_s {
            let room = (self.quota_per_s - total) / self.members * HEADROOM_FACTOR;
            return (self.demand_per_s + room).min(self.quota_per_s);
        }
        (self.quota_per_s * self.demand_per_s / total).max(equal * FLOOR_SHARE)
    }
}
