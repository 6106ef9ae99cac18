//! The split of workspaces' quotas over the instances.

use std::collections::HashMap;
use std::sync::Arc;

use catalog::Snapshot;
use limits::QuotaShare;
use wire::Demand;

/// The most workspaces whose demand one probe tells of.
const DEMAND_COUNT: usize = 16;

/// The mean demand below which a workspace is not told of, in requests a second.
const MIN_MEAN_PER_S: f64 = 0.001;

const MS_PER_S: f64 = 1000.0;

/// One workspace's share with the count that its demand is read from.
struct Split {
    share: QuotaShare,
    asked: u64,
    read_ms: u64,
}

/// The shares of all workspaces.
#[derive(Default)]
pub(super) struct Shares {
    splits: HashMap<Arc<str>, Split>,
}

impl Shares {
    /// Takes in changed quotas and members, so that they are in force with the view that has them.
    pub(super) fn adjust(&mut self, snapshot: &Snapshot, members: usize, now_ms: u64) {
        self.splits
            .retain(|name, _| snapshot.workspaces.contains_key(name));
        for (name, workspace) in &snapshot.workspaces {
            let quota = workspace.quota_per_s;
            let split = self.splits.entry(name.clone()).or_insert_with(|| Split {
                share: QuotaShare::new(quota, members),
                asked: 0,
                read_ms: now_ms,
            });
            split.share.set_quota(quota, members);
        }
    }

    /// Notes the demand since the last refresh, from counters of requests asked for.
    pub(super) fn refresh(&mut self, asked: &HashMap<Arc<str>, u64>, now_ms: u64) {
        for (name, split) in &mut self.splits {
            let total = asked.get(name).copied().unwrap_or(0);
            let elapsed_s = now_ms.saturating_sub(split.read_ms) as f64 / MS_PER_S;
            if elapsed_s <= 0.0 {
                continue;
            }
            let since = total.saturating_sub(split.asked);
            split.share.record_demand(since as f64 / elapsed_s);
            split.asked = total;
            split.read_ms = now_ms;
        }
    }

    /// Returns this instance's part of each quota, in requests a second.
    pub(super) fn rates(&self, now_ms: u64) -> HashMap<Arc<str>, f64> {
        let splits = self.splits.iter();
        splits
            .map(|(name, split)| (name.clone(), split.share.rate_per_s(now_ms)))
            .collect()
    }

    /// Returns the highest mean demands, to be told to a peer.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (name, split) in &self.splits {
            let mean_per_s = split.share.mean_per_s();
            if mean_per_s >= MIN_MEAN_PER_S {
                demands.push(Demand {
                    workspace: name.to_string(),
                    mean_per_s,
                });
            }
        }
        demands.sort_by(|left, right| right.mean_per_s.total_cmp(&left.mean_per_s));
        demands.truncate(DEMAND_COUNT);
        demands
    }

    /// Averages with a peer that asks: what it tells of, and what it does not tell of as zero.
    pub(super) fn meet(&mut self, theirs: &[Demand], now_ms: u64) -> Vec<Demand> {
        let mut answers = Vec::new();
        for (name, split) in &mut self.splits {
            let Some(told) = told_of(name, theirs) else {
                continue;
            };
            let mean_per_s = split.share.average_with(told, now_ms);
            if mean_per_s >= MIN_MEAN_PER_S {
                answers.push(Demand {
                    workspace: name.to_string(),
                    mean_per_s,
                });
            }
        }
        answers
    }

    /// Takes in the averages that a peer answered.
    pub(super) fn met(&mut self, averages: &[Demand], now_ms: u64) {
        for (name, split) in &mut self.splits {
            if let Some(told) = told_of(name, averages) {
                split.share.apply_average(told, now_ms);
            }
        }
    }
}

/// Returns the mean that a peer told of, which is zero for one that it left out of a short list.
fn told_of(name: &str, demands: &[Demand]) -> Option<f64> {
    let found = demands.iter().find(|demand| demand.workspace == name);
    let absent = if demands.len() < DEMAND_COUNT {
        Some(0.0)
    } else {
        None
    };
    found.map(|demand| demand.mean_per_s).or(absent)
}
