//! The latest reports of the peers on the loads of endpoints.

use std::collections::{HashMap, HashSet};

use kernel::Incarnation;
use limits::CrashReport;
use serve::PeerReach;
use wire::LoadReport;

use crate::convert::crash_from_wire;

/// How long a report counts, in milliseconds: several intervals of the largest exchange.
const REPORT_LIFETIME_MS: u64 = 600;

/// The instances that reach no endpoint of a service, by the hash of its name.
pub(crate) type CutOffInstances = HashMap<u64, HashSet<Incarnation>>;

/// The latest report of one peer.
#[derive(Debug)]
struct PeerReport {
    received_ms: u64,
    loads: LoadReport,
}

/// The latest reports of the peers.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    reports: HashMap<Incarnation, PeerReport>,
}

impl PeerLoads {
    pub(crate) fn record(&mut self, from: Incarnation, loads: LoadReport, now_ms: u64) {
        let report = PeerReport {
            received_ms: now_ms,
            loads,
        };
        self.reports.insert(from, report);
    }

    /// Drops the reports that no longer count.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, report| now_ms < report.received_ms + REPORT_LIFETIME_MS);
    }

    /// Returns what each peer reports of the endpoints that it does not reach.
    pub(crate) fn reach(&self) -> HashMap<Incarnation, PeerReach> {
        let reach = |report: &PeerReport| PeerReach {
            received_ms: report.received_ms,
            out_of_reach: report.loads.out_of_reach.iter().copied().collect(),
        };
        let reports = self.reports.iter();
        reports
            .map(|(peer, report)| (*peer, reach(report)))
            .collect()
    }

    /// Returns the endpoints that the peers that `counts` selects reached again.
    pub(crate) fn reached_again(&self, counts: impl Fn(Incarnation) -> bool) -> HashSet<u64> {
        let mut reached = HashSet::new();
        for (peer, report) in &self.reports {
            if counts(*peer) {
                reached.extend(&report.loads.reached_again);
            }
        }
        reached
    }

    /// Returns the instances that reach no endpoint of a service, by its hash, as the peers that `counts`
    /// selects report them.
    pub(crate) fn cut_off(&self, counts: impl Fn(Incarnation) -> bool) -> CutOffInstances {
        let mut cut_off = CutOffInstances::new();
        for (peer, report) in &self.reports {
            if !counts(*peer) {
                continue;
            }
            for entry in &report.loads.cut_off {
                let instances = entry.instances.iter().copied();
                let known = cut_off.entry(entry.service).or_default();
                known.extend(instances.map(Incarnation::from_u64));
            }
        }
        cut_off
    }

    /// Returns what the peers that `counts` selects report on crashes.
    pub(crate) fn crashes(&self, counts: impl Fn(Incarnation) -> bool) -> Vec<CrashReport> {
        let mut crashes = Vec::new();
        for (peer, report) in &self.reports {
            if !counts(*peer) {
                continue;
            }
            for crash in &report.loads.crashes {
                crashes.push(crash_from_wire(crash, report.received_ms));
            }
        }
        crashes
    }

    /// Returns the sums by endpoint over the reports of the peers that `counts` selects.
    pub(crate) fn sums(&self, counts: impl Fn(Incarnation) -> bool) -> HashMap<u64, u32> {
        let mut sums: HashMap<u64, u32> = HashMap::new();
        for (peer, report) in &self.reports {
            if !counts(*peer) {
                continue;
            }
            for (endpoint, units) in report.loads.endpoints.iter().zip(&report.loads.units) {
                let sum = sums.entry(*endpoint).or_default();
                *sum = sum.saturating_add(*units);
            }
        }
        sums
    }
}
