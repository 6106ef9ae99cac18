//! Which loads an instance reports to which others.
//!
//! In a small fleet each instance reports its own loads to all others. In a larger one that would be
//! too many reports. There one instance of each availability zone, the collector, receives the loads
//! of the instances of its zone, exchanges the sums with the other collectors, and reports to each
//! instance of its zone the loads of all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::Incarnation;
use member::{Member, Status, highest_ranked};
use serve::MAX_DIRECT_INSTANCES;

/// The interval between the reports to one peer, per peer: bounds the reports of an instance to 80 a
/// second.
const INTERVAL_PER_PEER: Duration = Duration::from_micros(12_500);

const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between the reports in a large fleet, per instance of the zone: bounds the reports
/// of a collector to 250 a second, as far as the bounds below allow.
const INTERVAL_PER_ZONE_MEMBER: Duration = Duration::from_millis(4);

const MIN_LARGE_INTERVAL: Duration = Duration::from_millis(100);

/// A report must not expire before the next one arrives.
const MAX_LARGE_INTERVAL: Duration = Duration::from_millis(250);

/// The key by which the collector of a zone is ranked.
const COLLECTOR_KEY: &str = "loads";

/// Whose loads a report sums up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those of the sender.
    Own,
    /// Those of the sender's zone.
    Zone(BTreeSet<Incarnation>),
    /// Those of all instances except the receiver.
    AllBut(Incarnation),
}

impl Scope {
    /// Returns whether the report sums up what a peer reported.
    pub(crate) fn includes(&self, peer: Incarnation) -> bool {
        match self {
            Scope::Own => false,
            Scope::Zone(zone) => zone.contains(&peer),
            Scope::AllBut(receiver) => peer != *receiver,
        }
    }
}

/// A report to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Recipient {
    pub(crate) peer_addr: String,
    pub(crate) scope: Scope,
}

/// The reports to send in one interval.
#[derive(Debug)]
pub(crate) struct LoadPlan {
    pub(crate) recipients: Vec<Recipient>,
    pub(crate) interval: Duration,
}

impl LoadPlan {
    /// Plans the reports of `local` among the live members, itself included.
    pub(crate) fn new(local: &Member, members: &[&Member]) -> LoadPlan {
        if members.len() > MAX_DIRECT_INSTANCES {
            return LoadPlan::over_collectors(local, members);
        }
        let mut peers = members.to_vec();
        peers.retain(|member| member.incarnation != local.incarnation);
        LoadPlan {
            interval: (INTERVAL_PER_PEER * peers.len() as u32).max(MIN_INTERVAL),
            recipients: peers.iter().map(|peer| to(peer, Scope::Own)).collect(),
        }
    }

    fn over_collectors(local: &Member, members: &[&Member]) -> LoadPlan {
        let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in members {
            if member.status == Status::Alive && !member.leaving {
                zones.entry(&member.zone).or_default().push(member);
            }
        }
        let collector_of = |zone: &Vec<&Member>| highest_ranked(COLLECTOR_KEY, zone).cloned();
        let own_zone = zones.get(&*local.zone).cloned().unwrap_or_default();
        let interval = INTERVAL_PER_ZONE_MEMBER * own_zone.len() as u32;
        let mut plan = LoadPlan {
            interval: interval.clamp(MIN_LARGE_INTERVAL, MAX_LARGE_INTERVAL),
            recipients: Vec::new(),
        };
        let Some(collector) = collector_of(&own_zone) else {
            return plan;
        };
        if collector.incarnation != local.incarnation {
            plan.recipients.push(to(&collector, Scope::Own));
            return plan;
        }
        let in_zone: BTreeSet<Incarnation> = own_zone.iter().map(|m| m.incarnation).collect();
        for member in own_zone {
            if member.incarnation != local.incarnation {
                let scope = Scope::AllBut(member.incarnation);
                plan.recipients.push(to(member, scope));
            }
        }
        for (zone, members) in &zones {
            if **zone == *local.zone {
                continue;
            }
            if let Some(other) = collector_of(members) {
                let scope = Scope::Zone(in_zone.clone());
                plan.recipients.push(to(&other, scope));
            }
        }
        plan
    }
}

fn to(member: &Member, scope: Scope) -> Recipient {
    Recipient {
        peer_addr: member.peer_addr.to_string(),
        scope,
    }
}
