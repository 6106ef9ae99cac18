//! Registers this instance in the store, and maintains the entries of the other instances.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use kernel::Incarnation;
use member::{Status, highest_ranked};
use serde::{Deserialize, Serialize};
use store::Precondition;

use crate::codec::Feed;
use crate::gossip;
use crate::state::Control;
use crate::watch;

/// How often the entries are compared with the member table, in milliseconds.
const COMPARE_MS: u64 = 500;

/// How long an instance leaves its entry away that others removed, in milliseconds. They remove it again
/// while they do not reach the instance.
const REWRITE_PAUSE_MS: u64 = 5_000;

/// An instance's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct InstanceEntry {
    incarnation: String,
    zone: String,
    http_addr: String,
    peer_addr: String,
}

fn own_path(control: &Control) -> String {
    let prefix = control.codec.prefix(Feed::Instances);
    format!("{prefix}{}", control.settings.name)
}

/// Writes this instance's entry, and joins the instances whose entries it finds.
///
/// In a large fleet only the instances that watch the store have an entry. A new instance joins the
/// others through them.
pub(crate) async fn run(control: Rc<Control>) {
    let mut written_ms = None;
    watch::wait_for_membership(&control).await;
    loop {
        let is_missing = written_ms.is_none_or(|written_ms| was_removed(&control, written_ms));
        if is_missing && control.is_watcher() {
            written_ms = write_entry(&control).await;
        }
        Timer::after(Duration::from_millis(COMPARE_MS)).await;
        join_listed_peers(&control).await;
        remove_dead_entries(&control).await;
    }
}

/// Returns whether this instance's entry, written a while ago, was removed by others.
fn was_removed(control: &Control, written_ms: u64) -> bool {
    if control.now_ms() < written_ms + REWRITE_PAUSE_MS {
        return false;
    }
    let replica = control.replica.borrow();
    let entry = replica.get(&own_path(control));
    entry.is_some_and(|entry| entry.value.is_none())
}

/// Writes this instance's entry, and returns when the store accepted it, in milliseconds.
async fn write_entry(control: &Control) -> Option<u64> {
    let entry = InstanceEntry {
        incarnation: String::from(control.incarnation),
        zone: control.settings.zone.to_string(),
        http_addr: control.settings.http_addr.clone(),
        peer_addr: control.settings.peer_addr.clone(),
    };
    let value = serde_json::to_value(&entry).ok()?;
    let path = own_path(control);
    match control.store.put(&path, &value, Precondition::Any).await {
        Ok(_) => Some(control.now_ms()),
        Err(err) => {
            tracing::warn!(error = %err, "member: cannot write own entry");
            None
        }
    }
}

/// Removes this instance's entry.
pub(crate) async fn remove_entry(control: &Control) {
    let path = own_path(control);
    let listed = control
        .replica
        .borrow()
        .get(&path)
        .is_some_and(|object| object.value.is_some());
    if !listed {
        return;
    }
    if let Err(err) = control.store.delete(&path, Precondition::Any).await {
        tracing::warn!(error = %err, "member: cannot remove own entry");
    }
}

/// A decoded entry with its path and revision in the store.
struct ListedInstance {
    path: String,
    revision: u64,
    incarnation: Incarnation,
    peer_addr: String,
}

fn listed_instances(control: &Control) -> Vec<ListedInstance> {
    let replica = control.replica.borrow();
    let prefix = control.codec.prefix(Feed::Instances);
    let mut instances = Vec::new();
    for object in replica.live() {
        if !object.path.starts_with(prefix) {
            continue;
        }
        let value = object.value.clone().unwrap_or_default();
        let Ok(entry) = serde_json::from_value::<InstanceEntry>(value) else {
            tracing::debug!(path = &*object.path, "member: entry unreadable");
            continue;
        };
        let Ok(incarnation) = Incarnation::try_from(entry.incarnation) else {
            continue;
        };
        instances.push(ListedInstance {
            path: object.path.to_string(),
            revision: object.revision,
            incarnation,
            peer_addr: entry.peer_addr,
        });
    }
    instances
}

/// Probes the listed instances that the member table lacks.
async fn join_listed_peers(control: &Control) {
    for entry in listed_instances(control) {
        let is_member = control.members.borrow().get(entry.incarnation).is_some();
        if is_member || entry.incarnation == control.incarnation {
            continue;
        }
        if let Ok(addr) = entry.peer_addr.parse() {
            gossip::join(control, addr).await;
        }
    }
}

/// Removes the entries of dead instances for which this instance ranks first among the live ones.
async fn remove_dead_entries(control: &Control) {
    for entry in listed_instances(control) {
        let should_remove = {
            let members = control.members.borrow();
            let dead = members
                .get(entry.incarnation)
                .is_some_and(|member| member.status == Status::Dead);
            let first = highest_ranked(&entry.path, &members.live());
            dead && first.is_some_and(|first| first.incarnation == control.incarnation)
        };
        if !should_remove || control.store_unavailable() {
            continue;
        }
        let expect = Precondition::Revision(entry.revision);
        match control.store.delete(&entry.path, expect).await {
            Ok(_) => tracing::info!(
                path = entry.path,
                "member: removed entry of a dead instance"
            ),
            Err(err) => {
                tracing::info!(path = entry.path, error = %err, "member: cannot remove entry")
            }
        }
    }
}
