//! One instance's share of a workspace's quota.

/// A part of a share on its way from one instance to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// The membership epoch in which the giver holds its share.
    pub epoch: u64,
    /// The rate given, in requests a second.
    pub rate_per_s: f64,
}

/// The weight of the latest second in the demand.
const DEMAND_WEIGHT: f64 = 0.3;

/// The least share of an equal split that an instance keeps when it has no demand.
const FLOOR_SHARE: f64 = 0.1;

/// One instance's share of a quota that all instances keep together.
///
/// Shares start as an equal split and move in pairs: the giver takes the rate off its own share
/// before it sends it, so that a lost message makes the sum smaller and never larger. A new
/// membership epoch starts the split anew; an offer of another epoch is dropped.
///
/// # Examples
///
/// ```
/// use limits::Share;
///
/// let mut idle = Share::new(10.0, 2, 1);
/// let mut busy = Share::new(10.0, 2, 1);
/// busy.note_demand(9.0);
/// let offer = idle.give(busy.demand_per_s(), 1).unwrap();
/// busy.accept(offer);
/// assert!(busy.rate_per_s() > idle.rate_per_s());
/// assert!((busy.rate_per_s() + idle.rate_per_s() - 10.0).abs() < 1e-9);
/// ```
#[derive(Debug, Clone)]
pub struct Share {
    quota_per_s: f64,
    members: usize,
    epoch: u64,
    rate_per_s: f64,
    demand_per_s: f64,
}

impl Share {
    /// Starts with an equal split among the members of an epoch.
    pub fn new(quota_per_s: f64, members: usize, epoch: u64) -> Share {
        let members = members.max(1);
        let rate_per_s = quota_per_s / members as f64;
        Share {
            quota_per_s,
            members,
            epoch,
            rate_per_s,
            demand_per_s: 0.0,
        }
    }

    /// Starts anew if the quota, the members or the epoch changed.
    pub fn reset(&mut self, quota_per_s: f64, members: usize, epoch: u64) {
        let same = self.quota_per_s == quota_per_s
            && self.members == members.max(1)
            && self.epoch == epoch;
        if same {
            return;
        }
        let demand_per_s = self.demand_per_s;
        *self = Share::new(quota_per_s, members, epoch);
        self.demand_per_s = demand_per_s;
    }

    /// Notes how many requests a second were asked for lately.
    pub fn note_demand(&mut self, asked_per_s: f64) {
        self.demand_per_s += DEMAND_WEIGHT * (asked_per_s - self.demand_per_s);
    }

    /// Returns the smoothed demand, in requests a second.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the rate in force, in requests a second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the epoch in force.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes off what a peer with more need should get, or returns `None` if there is nothing to give.
    pub fn give(&mut self, peer_demand_per_s: f64, peer_epoch: u64) -> Option<Offer> {
        if peer_epoch != self.epoch || peer_demand_per_s <= self.demand_per_s {
            return None;
        }
        let floor = self.quota_per_s / self.members as f64 * FLOOR_SHARE;
        let surplus =
            self.rate_per_s - floor.max(self.demand_per_s * self.pressure(peer_demand_per_s));
        let rate_per_s = surplus / 2.0;
        if rate_per_s <= floor / 100.0 {
            return None;
        }
        self.rate_per_s -= rate_per_s;
        Some(Offer {
            epoch: self.epoch,
            rate_per_s,
        })
    }

    /// Adds what a peer gave.
    pub fn accept(&mut self, offer: Offer) {
        if offer.epoch == self.epoch {
            self.rate_per_s += offer.rate_per_s;
        }
    }

    /// Returns how much of its demand an instance keeps against a peer of higher demand.
    fn pressure(&self, peer_demand_per_s: f64) -> f64 {
        let both = self.demand_per_s + peer_demand_per_s;
        if both <= 0.0 {
            return 1.0;
        }
        let fair = self.quota_per_s / (both * self.members as f64 / 2.0);
        fair.clamp(0.5, 1.2)
    }
}
