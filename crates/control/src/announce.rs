//! This instance's own entry in the store, and those of the others.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use kernel::Incarnation;
use member::{Status, highest_ranked};
use serde::{Deserialize, Serialize};
use store::Expect;

use crate::codec::Feed;
use crate::gossip;
use crate::state::Control;
use crate::watch;

/// How often the entries are compared with the members, in milliseconds.
const COMPARE_MS: u64 = 500;

/// An instance's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Entry {
    incarnation: String,
    zone: String,
    http_addr: String,
    peer_addr: String,
}

fn own_path(control: &Control) -> String {
    let prefix = control.codec.prefix(Feed::Instances);
    format!("{prefix}{}", control.settings.name)
}

/// Writes this instance's entry, and meets the instances whose entries it finds.
///
/// In a large fleet only the instances that watch the store have one: whoever joins meets the others
/// through them.
pub(crate) async fn run(control: Rc<Control>) {
    let mut written = false;
    watch::let_peers_join(&control).await;
    loop {
        if !written && control.is_watcher() {
            written = write(&control).await;
        }
        Timer::after(Duration::from_millis(COMPARE_MS)).await;
        meet(&control).await;
        clean(&control).await;
    }
}

/// Writes this instance's entry, and returns whether it stands.
async fn write(control: &Control) -> bool {
    let entry = Entry {
        incarnation: String::from(control.me),
        zone: control.settings.zone.to_string(),
        http_addr: control.settings.http_addr.clone(),
        peer_addr: control.settings.peer_addr.clone(),
    };
    let Ok(value) = serde_json::to_value(&entry) else {
        return false;
    };
    let path = own_path(control);
    let written = control.store.put(&path, &value, Expect::Any).await;
    if let Err(err) = &written {
        tracing::warn!(error = %err, "member: own entry not written");
    }
    written.is_ok()
}

/// Removes this instance's entry.
pub(crate) async fn remove(control: &Control) {
    let path = own_path(control);
    let listed = control
        .replica
        .borrow()
        .get(&path)
        .is_some_and(|object| object.value.is_some());
    if !listed {
        return;
    }
    if let Err(err) = control.store.delete(&path, Expect::Any).await {
        tracing::warn!(error = %err, "member: own entry not removed");
    }
}

/// An entry with its place in the store.
struct Listed {
    path: String,
    revision: u64,
    incarnation: Incarnation,
    peer_addr: String,
}

fn listed(control: &Control) -> Vec<Listed> {
    let replica = control.replica.borrow();
    let prefix = control.codec.prefix(Feed::Instances);
    let mut found = Vec::new();
    for object in replica.live() {
        if !object.path.starts_with(prefix) {
            continue;
        }
        let value = object.value.clone().unwrap_or_default();
        let Ok(entry) = serde_json::from_value::<Entry>(value) else {
            tracing::debug!(path = &*object.path, "member: unreadable entry");
            continue;
        };
        let Ok(incarnation) = Incarnation::try_from(entry.incarnation) else {
            continue;
        };
        found.push(Listed {
            path: object.path.to_string(),
            revision: object.revision,
            incarnation,
            peer_addr: entry.peer_addr,
        });
    }
    found
}

/// Probes the instances that are listed and not known.
async fn meet(control: &Control) {
    for entry in listed(control) {
        let known = control.members.borrow().get(entry.incarnation).is_some();
        if known || entry.incarnation == control.me {
            continue;
        }
        if let Ok(addr) = entry.peer_addr.parse() {
            gossip::join(control, addr).await;
        }
    }
}

/// Removes entries of dead instances, if this one ranks first among the living.
async fn clean(control: &Control) {
    for entry in listed(control) {
        let due = {
            let members = control.members.borrow();
            let dead = members
                .get(entry.incarnation)
                .is_some_and(|member| member.status == Status::Dead);
            let first = highest_ranked(&entry.path, &members.live());
            dead && first.is_some_and(|first| first.incarnation == control.me)
        };
        if !due || control.store_away() {
            continue;
        }
        let expect = Expect::Revision(entry.revision);
        match control.store.delete(&entry.path, expect).await {
            Ok(_) => tracing::info!(path = entry.path, "member: removed the entry of a dead one"),
            Err(err) => {
                tracing::info!(path = entry.path, error = %err, "member: entry not removed")
            }
        }
    }
}
