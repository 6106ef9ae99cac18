//! The split of workspaces' quotas over the instances.

use std::collections::HashMap;
use std::sync::Arc;

use catalog::Snapshot;
use limits::Share;
use wire::Demand;

use crate::control::state::Control;

/// The most workspaces whose demand one probe tells of.
const DEMAND_COUNT: usize = 16;

/// The mean demand below which a workspace is not told of, in requests a second.
const MIN_MEAN_PER_S: f64 = 0.001;

const MS_PER_S: f64 = 1000.0;

/// One workspace's share with the count that its demand is read from.
pub(super) struct Split {
    pub(super) share: Share,
    asked: u64,
    read_ms: u64,
}

/// Takes in changed quotas and members, so that they are in force with the view that has them.
pub(super) fn adjust(control: &Control, snapshot: &Snapshot) {
    let members = control.table.borrow().live().len();
    let now_ms = control.now_ms();
    let mut shares = control.shares.borrow_mut();
    shares.retain(|name, _| snapshot.workspaces.contains_key(name));
    for (name, workspace) in &snapshot.workspaces {
        let quota = workspace.quota_per_s;
        let entry = shares.entry(name.clone()).or_insert_with(|| Split {
            share: Share::new(quota, members),
            asked: 0,
            read_ms: now_ms,
        });
        entry.share.adjust(quota, members);
    }
}

/// Notes the demand since the last refresh.
pub(super) fn refresh(control: &Control) {
    let now_ms = control.now_ms();
    let asked: HashMap<Arc<str>, u64> = control.shared.quota.asked().into_iter().collect();
    for (name, entry) in control.shares.borrow_mut().iter_mut() {
        let total = asked.get(name).copied().unwrap_or(0);
        let elapsed_s = now_ms.saturating_sub(entry.read_ms) as f64 / MS_PER_S;
        if elapsed_s <= 0.0 {
            continue;
        }
        let since = total.saturating_sub(entry.asked);
        entry.share.note_demand(since as f64 / elapsed_s);
        entry.asked = total;
        entry.read_ms = now_ms;
    }
}

/// Returns the highest mean demands, to be told to a peer.
pub(super) fn demands(control: &Control) -> Vec<Demand> {
    let shares = control.shares.borrow();
    let mut demands = Vec::new();
    for (name, entry) in shares.iter() {
        let mean_per_s = entry.share.mean_per_s();
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
pub(super) fn meet(control: &Control, theirs: &[Demand]) -> Vec<Demand> {
    let now_ms = control.now_ms();
    let mut shares = control.shares.borrow_mut();
    let mut answers = Vec::new();
    for (name, entry) in shares.iter_mut() {
        let Some(told) = told_of(name, theirs) else {
            continue;
        };
        let mean_per_s = entry.share.meet(told, now_ms);
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
pub(super) fn met(control: &Control, averages: &[Demand]) {
    let now_ms = control.now_ms();
    let mut shares = control.shares.borrow_mut();
    for (name, entry) in shares.iter_mut() {
        if let Some(told) = told_of(name, averages) {
            entry.share.met(told, now_ms);
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
