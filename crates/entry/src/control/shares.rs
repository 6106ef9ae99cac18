//! The split of workspaces' quotas over the instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use limits::Share;
use wire::{Demand, Offer};

use crate::control::state::Control;

/// How long one split lasts before it starts anew, in milliseconds.
const EPOCH_MS: u64 = 20_000;

/// The most workspaces whose demand one probe tells of.
const DEMAND_COUNT: usize = 16;

thread_local! {
    /// The counts of requests asked for at the last refresh.
    static LAST_ASKED: RefCell<HashMap<(u64, Arc<str>), u64>> = RefCell::default();
}

/// Notes the demand since the last refresh and starts the split anew where it must.
pub(super) fn refresh(control: &Control) {
    let members = control.table.borrow().live().len();
    let epoch = control.shared.clock.wall_ms() / EPOCH_MS * 1_000 + members as u64;
    let interval_s = control.shared.settings.gossip_interval_ms as f64 / 1000.0;
    let asked: HashMap<Arc<str>, u64> = control.shared.quota.asked().into_iter().collect();
    let view = control.shared.view.load();
    let mut shares = control.shares.borrow_mut();
    shares.retain(|name, _| view.snapshot.workspaces.contains_key(name));
    for (name, workspace) in &view.snapshot.workspaces {
        let quota = workspace.quota_per_s;
        let share = shares
            .entry(name.clone())
            .or_insert_with(|| Share::new(quota, members, epoch));
        share.reset(quota, members, epoch);
        let total = asked.get(name).copied().unwrap_or(0);
        let last = LAST_ASKED
            .with_borrow_mut(|last| last.insert((control.shared.me.as_u64(), name.clone()), total));
        let since = total.saturating_sub(last.unwrap_or(0));
        share.note_demand(since as f64 / interval_s);
    }
}

/// Returns the highest demands, to be told to a peer.
pub(super) fn demands(control: &Control) -> Vec<Demand> {
    let shares = control.shares.borrow();
    let mut demands = Vec::new();
    for (name, share) in shares.iter() {
        if share.demand_per_s() < 0.01 {
            continue;
        }
        demands.push(Demand {
            workspace: name.to_string(),
            per_s: share.demand_per_s(),
            epoch: share.epoch(),
        });
    }
    demands.sort_by(|left, right| right.per_s.total_cmp(&left.per_s));
    demands.truncate(DEMAND_COUNT);
    demands
}

/// Takes off the shares what a peer with more demand should get.
pub(super) fn give(control: &Control, demands: &[Demand]) -> Vec<Offer> {
    let mut shares = control.shares.borrow_mut();
    let mut offers = Vec::new();
    for demand in demands {
        let Some(share) = shares.get_mut(demand.workspace.as_str()) else {
            continue;
        };
        let Some(offer) = share.give(demand.per_s, demand.epoch) else {
            continue;
        };
        offers.push(Offer {
            workspace: demand.workspace.clone(),
            per_s: offer.rate_per_s,
            epoch: offer.epoch,
        });
    }
    offers
}

/// Adds what a peer gave.
pub(super) fn accept(control: &Control, offers: &[Offer]) {
    let mut shares = control.shares.borrow_mut();
    for offer in offers {
        if let Some(share) = shares.get_mut(offer.workspace.as_str()) {
            share.accept(limits::Offer {
                epoch: offer.epoch,
                rate_per_s: offer.per_s,
            });
        }
    }
}
