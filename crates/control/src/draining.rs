//! Waiting for the calls on the versions that a roll-out replaces.

use std::rc::Rc;

use async_executor::LocalExecutor;
use member::{Member, rank};
use rollout::{ListedInstance, OldCallsState};
use route::DEFAULT_TIMEOUT_MS;

use crate::gossip;
use crate::state::Control;

/// How many instances, the first by rank, ask the others for their calls. The others hear of them as they
/// gossip, and may have to write the result if the first ones lost the store.
const ASKING_INSTANCES: usize = 2;

/// Time from a move of all new calls until instances are asked, in milliseconds: they hear of it and settle.
const FIRST_ASK_MS: u64 = 350;

/// How often an instance is asked, in milliseconds.
const ASK_INTERVAL_MS: u64 = 400;

/// How many instances are asked at once.
const MAX_ASKED: usize = 16;

/// Returns what may still run on the versions that a service's roll-out replaces.
pub(crate) fn old_calls(control: &Control, service: &str) -> OldCallsState {
    let now_ms = control.now_ms();
    let trackers = control.trackers.borrow();
    let Some(tracker) = trackers.by_service.get(service) else {
        return OldCallsState::Ended;
    };
    let bound = tracker.old_calls_bound(longest_call_ms(control, service), now_ms);
    tracker.old_calls().state(&fleet(control), &bound, now_ms)
}

/// Returns the longest time that a call to a service may take, in milliseconds.
fn longest_call_ms(control: &Control, service: &str) -> u64 {
    let table = control.table();
    let longest_ms = table.and_then(|table| table.longest_timeout_ms(service));
    longest_ms.unwrap_or(DEFAULT_TIMEOUT_MS)
}

fn fleet(control: &Control) -> Vec<ListedInstance> {
    let members = control.members.borrow();
    let mut fleet = Vec::new();
    for member in members.live() {
        fleet.push(ListedInstance {
            incarnation: member.incarnation,
            lost_ms: None,
        });
    }
    for (member, lost_ms) in members.lost_since() {
        fleet.push(ListedInstance {
            incarnation: member.incarnation,
            lost_ms: Some(lost_ms),
        });
    }
    fleet
}

/// Asks awaited instances for their reports if this instance is among the first by rank for an object.
pub(crate) fn ask(
    control: &Rc<Control>,
    executor: &LocalExecutor<'static>,
    service: &str,
    path: &str,
) {
    let watchers = control.watchers();
    let watchers: Vec<&Member> = watchers.iter().collect();
    // Only the rank of a watcher is one among the watchers.
    if !control.is_watcher() || rank(path, control.incarnation, &watchers) >= ASKING_INSTANCES {
        return;
    }
    let now_ms = control.now_ms();
    let mut trackers = control.trackers.borrow_mut();
    let Some(tracker) = trackers.by_service.get_mut(service) else {
        return;
    };
    let bound = tracker.old_calls_bound(longest_call_ms(control, service), now_ms);
    let awaited = tracker.old_calls().awaited(&fleet(control), &bound, now_ms);
    if tracker.awaited_count.replace(awaited.len()) != Some(awaited.len()) {
        let awaited = awaited.len();
        tracing::info!(service, awaited, "rollout: waits for calls of instances");
    }
    if now_ms < bound.moved_ms + FIRST_ASK_MS {
        return;
    }
    let members = control.members.borrow();
    let mut asked = 0;
    for member in members.live() {
        let is_awaited = awaited.contains(&member.incarnation);
        let is_due = is_awaited && tracker.old_calls().is_due(member.incarnation, now_ms);
        if !is_due || member.incarnation == control.incarnation || asked == MAX_ASKED {
            continue;
        }
        let asked_ms = tracker.asked_ms.entry(member.incarnation).or_default();
        if now_ms < *asked_ms + ASK_INTERVAL_MS {
            continue;
        }
        *asked_ms = now_ms;
        asked += 1;
        let (control, member) = (control.clone(), member.clone());
        executor
            .spawn(async move { gossip::probe(&control, &member).await })
            .detach();
    }
}
