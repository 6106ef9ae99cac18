//! The latest reports of the peers on the speeds of endpoints.
//!
//! One instance sees an endpoint a few times in a minute. The sums of all samples reach each instance
//! over the collectors in about three seconds.

use std::collections::HashMap;

use kernel::Incarnation;
use limits::PaceSums;
use wire::LoadReport;

use crate::load_plan::Scope;

/// How often speeds are reported, in milliseconds. They change slowly, and would be as large as all
/// loads in each report.
const INTERVAL_MS: u64 = 1_000;

/// How long a report counts, in milliseconds: a few intervals.
const LIFETIME_MS: u64 = 3_500;

/// Most endpoints in one report, about a quarter of the largest datagram.
const MAX_ENTRIES: usize = 256;

/// Most endpoints with a load beside which speeds fit into the largest datagram.
const MAX_LOADED: usize = 768;

/// Units of the numbers on the wire.
const UNITS_PER_LOG: f64 = 1_000.0;
const UNITS_PER_WEIGHT: f64 = 10.0;

#[derive(Debug)]
struct PeerReport {
    received_ms: u64,
    sums: HashMap<u64, PaceSums>,
}

/// The latest reports of the peers, and when this instance last sent one.
#[derive(Debug, Default)]
pub(crate) struct PeerPaces {
    reports: HashMap<Incarnation, PeerReport>,
    sent_ms: u64,
}

impl PeerPaces {
    /// Takes over the speeds of a report. One without any says nothing of them.
    pub(crate) fn record(&mut self, from: Incarnation, report: &LoadReport, now_ms: u64) {
        if report.pace_endpoints.is_empty() {
            return;
        }
        let sums = from_wire(report);
        let received_ms = now_ms;
        self.reports.insert(from, PeerReport { received_ms, sums });
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, report| now_ms < report.received_ms + LIFETIME_MS);
    }

    /// Returns whether it is time to report speeds, which then is done.
    pub(crate) fn is_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.sent_ms + INTERVAL_MS;
        if is_due {
            self.sent_ms = now_ms;
        }
        is_due
    }

    /// Returns the sums by endpoint over the reports of the peers that `counts` selects.
    pub(crate) fn sums(
        &self,
        counts: impl Fn(Incarnation) -> bool,
        now_ms: u64,
    ) -> HashMap<u64, PaceSums> {
        let mut sums: HashMap<u64, PaceSums> = HashMap::new();
        for (peer, report) in &self.reports {
            if !counts(*peer) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(report.received_ms);
            for (endpoint, reported) in &report.sums {
                let sum = sums.entry(*endpoint).or_default();
                sum.add(&reported.after_ms(age_ms));
            }
        }
        sums
    }

    /// Adds to a report the sums of this instance's samples and of those that the peers in the scope
    /// reported.
    pub(crate) fn add_to(
        &self,
        report: &mut LoadReport,
        scope: &Scope,
        own: HashMap<u64, PaceSums>,
        now_ms: u64,
    ) {
        if report.endpoints.len() > MAX_LOADED {
            return;
        }
        let mut sums = self.sums(|peer| scope.includes(peer), now_ms);
        for (endpoint, own) in own {
            sums.entry(endpoint).or_default().add(&own);
        }
        to_wire(sums, report);
    }
}

fn to_wire(sums: HashMap<u64, PaceSums>, report: &mut LoadReport) {
    let mut entries: Vec<(u64, PaceSums)> = sums.into_iter().collect();
    entries.sort_by(|(_, left), (_, right)| right.weight.total_cmp(&left.weight));
    entries.truncate(MAX_ENTRIES);
    for (endpoint, sums) in entries {
        let weight = (sums.weight * UNITS_PER_WEIGHT).round();
        if weight < 1.0 {
            continue;
        }
        report.pace_endpoints.push(endpoint);
        let mean_log = (sums.mean_log() * UNITS_PER_LOG).round();
        report.pace_mean_logs.push(mean_log as i32);
        report.pace_weights.push(weight as u32);
        let mean_square = (sums.mean_square() * UNITS_PER_LOG).round();
        report.pace_mean_squares.push(mean_square as u32);
    }
}

/// Reads the entries of which all numbers are there.
fn from_wire(report: &LoadReport) -> HashMap<u64, PaceSums> {
    let means = report.pace_mean_logs.iter().zip(&report.pace_mean_squares);
    let numbers = report.pace_weights.iter().zip(means);
    let mut sums = HashMap::new();
    for (endpoint, (weight, (mean_log, mean_square))) in report.pace_endpoints.iter().zip(numbers) {
        let entry = PaceSums::from_means(
            f64::from(*weight) / UNITS_PER_WEIGHT,
            f64::from(*mean_log) / UNITS_PER_LOG,
            f64::from(*mean_square) / UNITS_PER_LOG,
        );
        sums.insert(*endpoint, entry);
    }
    sums
}
