//! The split of workspace quotas between the instances.

use std::collections::HashMap;
use std::sync::Arc;

use catalog::Snapshot;
use limits::QuotaShare;
use wire::Demand;

/// The maximum number of workspaces whose demand one probe reports.
const MAX_PROBE_DEMANDS: usize = 16;

/// The mean demand below which a workspace is not reported.
const MIN_MEAN_PER_S: f64 = 0.001;

const MS_PER_S: f64 = 1000.0;

/// This instance's share of one workspace's quota, with the last reading of the request count.
struct WorkspaceShare {
    share: QuotaShare,
    requests: u64,
    counted_ms: u64,
}

/// This instance's shares of all workspace quotas.
#[derive(Default)]
pub(super) struct QuotaShares {
    workspaces: HashMap<Arc<str>, WorkspaceShare>,
}

impl QuotaShares {
    /// Applies the quotas of a configuration and the number of live members.
    ///
    /// Called while the view is built, so that the rates match the rest of the view.
    pub(super) fn set_quotas(&mut self, snapshot: &Snapshot, members: usize, now_ms: u64) {
        self.workspaces
            .retain(|name, _| snapshot.workspaces.contains_key(name));
        for (name, workspace) in &snapshot.workspaces {
            let quota = workspace.quota_per_s;
            let entry = self
                .workspaces
                .entry(name.clone())
                .or_insert_with(|| WorkspaceShare {
                    share: QuotaShare::new(quota, members),
                    requests: 0,
                    counted_ms: now_ms,
                });
            entry.share.set_quota(quota, members);
        }
    }

    /// Records the demand since the last call, from the total number of requests by workspace.
    pub(super) fn record_demand(&mut self, requests: &HashMap<Arc<str>, u64>, now_ms: u64) {
        for (name, entry) in &mut self.workspaces {
            let total = requests.get(name).copied().unwrap_or(0);
            let elapsed_s = now_ms.saturating_sub(entry.counted_ms) as f64 / MS_PER_S;
            if elapsed_s <= 0.0 {
                continue;
            }
            let since = total.saturating_sub(entry.requests);
            entry.share.record_demand(since as f64 / elapsed_s);
            entry.requests = total;
            entry.counted_ms = now_ms;
        }
    }

    /// Returns this instance's share of each quota, in requests per second.
    pub(super) fn rates(&self, now_ms: u64) -> HashMap<Arc<str>, f64> {
        let workspaces = self.workspaces.iter();
        workspaces
            .map(|(name, entry)| (name.clone(), entry.share.rate_per_s(now_ms)))
            .collect()
    }

    /// Returns the highest mean demands, to be sent to a peer.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (name, entry) in &self.workspaces {
            let mean_per_s = entry.share.mean_per_s();
            if mean_per_s >= MIN_MEAN_PER_S {
                demands.push(Demand {
                    workspace: name.to_string(),
                    mean_per_s,
                });
            }
        }
        demands.sort_by(|left, right| right.mean_per_s.total_cmp(&left.mean_per_s));
        demands.truncate(MAX_PROBE_DEMANDS);
        demands
    }

    /// Averages with the demands that a peer sent, and returns the averages for the reply.
    pub(super) fn average_with(&mut self, theirs: &[Demand], now_ms: u64) -> Vec<Demand> {
        let mut averages = Vec::new();
        for (name, entry) in &mut self.workspaces {
            let Some(peer_mean_per_s) = reported_mean(name, theirs) else {
                continue;
            };
            let mean_per_s = entry.share.average_with(peer_mean_per_s, now_ms);
            if mean_per_s >= MIN_MEAN_PER_S {
                averages.push(Demand {
                    workspace: name.to_string(),
                    mean_per_s,
                });
            }
        }
        averages
    }

    /// Adopts the averages from a peer's reply.
    pub(super) fn apply_averages(&mut self, averages: &[Demand], now_ms: u64) {
        for (name, entry) in &mut self.workspaces {
            if let Some(peer_mean_per_s) = reported_mean(name, averages) {
                entry.share.apply_average(peer_mean_per_s, now_ms);
            }
        }
    }
}

/// Returns the mean demand that a peer reported for a workspace.
///
/// A workspace missing from a list that is not full has no demand; from a full list, the demand is
/// unknown.
fn reported_mean(name: &str, demands: &[Demand]) -> Option<f64> {
    let found = demands.iter().find(|demand| demand.workspace == name);
    let absent = if demands.len() < MAX_PROBE_DEMANDS {
        Some(0.0)
    } else {
        None
    };
    found.map(|demand| demand.mean_per_s).or(absent)
}
