//! One instance's share of a workspace's quota.

/// Weight of the latest sample in the moving average of demand.
const DEMAND_WEIGHT: f64 = 0.4;

/// Share of the gap to own demand that each sample removes from the mean, so that an error left by
/// a lost message decays.
const MEAN_DECAY: f64 = 0.05;

/// Factor by which the unused quota is overcommitted, since few instances use their part of it.
const OVERCOMMIT_FACTOR: f64 = 2.0;

/// Part of an equal split that an instance keeps when the others demand the whole quota.
const MIN_EQUAL_SHARE: f64 = 0.05;

/// How long the mean is used without an exchange with a peer.
const MEAN_VALIDITY_MS: u64 = 5_000;

/// One instance's share of a quota that applies to all instances together.
///
/// Instances average their demand in pairs (gossip averaging), so that each learns the mean without
/// a table of all. If total demand exceeds the quota, each gets a part in proportion to its demand;
/// otherwise each gets its demand and a part of the unused quota. The sum may exceed the quota by a
/// factor of two until the mean has caught up with a rise in demand. An instance without recent
/// exchanges falls back to an equal split.
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
    instances: f64,
    demand_per_s: f64,
    mean_per_s: f64,
    synced_ms: Option<u64>,
}

impl QuotaShare {
    /// Creates a share that starts with an equal split of the quota over `instances`.
    pub fn new(quota_per_s: f64, instances: usize) -> QuotaShare {
        let instances = instances.max(1) as f64;
        QuotaShare {
            quota_per_s,
            instances,
            demand_per_s: 0.0,
            mean_per_s: 0.0,
            synced_ms: None,
        }
    }

    /// Updates the quota and the number of instances that share it.
    pub fn set_quota(&mut self, quota_per_s: f64, instances: usize) {
        self.quota_per_s = quota_per_s;
        self.instances = instances.max(1) as f64;
    }

    /// Adds a sample of this instance's demand, in requests per second, admitted or not.
    pub fn record_demand(&mut self, requested_per_s: f64) {
        let before = self.demand_per_s;
        self.demand_per_s += DEMAND_WEIGHT * (requested_per_s - self.demand_per_s);
        self.mean_per_s += self.demand_per_s - before;
        self.mean_per_s += MEAN_DECAY * (self.demand_per_s - self.mean_per_s);
    }

    /// Returns this instance's estimate of the mean demand, to be sent to a peer.
    pub fn mean_per_s(&self) -> f64 {
        self.mean_per_s
    }

    /// Averages with the estimate that a peer sent, and returns the result for the reply.
    pub fn average_with(&mut self, peer_mean_per_s: f64, now_ms: u64) -> f64 {
        self.mean_per_s = (self.mean_per_s + peer_mean_per_s) / 2.0;
        self.synced_ms = Some(now_ms);
        self.mean_per_s
    }

    /// Adopts the average from a peer's reply.
    pub fn apply_average(&mut self, average_per_s: f64, now_ms: u64) {
        self.mean_per_s = average_per_s;
        self.synced_ms = Some(now_ms);
    }

    /// Returns this instance's current rate limit, in requests per second.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let equal = self.quota_per_s / self.instances;
        let synced = self
            .synced_ms
            .is_some_and(|synced_ms| now_ms < synced_ms + MEAN_VALIDITY_MS);
        if !synced || self.instances <= 1.0 {
            return equal;
        }
        let total = (self.mean_per_s * self.instances).max(self.demand_per_s);
        if total <= self.quota_per_s {
            let unused = (self.quota_per_s - total) / self.instances * OVERCOMMIT_FACTOR;
            return (self.demand_per_s + unused).min(self.quota_per_s);
        }
        (self.quota_per_s * self.demand_per_s / total).max(equal * MIN_EQUAL_SHARE)
    }
}
