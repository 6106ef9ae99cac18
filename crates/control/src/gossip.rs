//! Gossip: probes of random peers, with member and configuration updates in both directions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use catalog::Digest;
use kernel::Incarnation;
use member::{Member, Status};
use wire::{Ack, Body, ConfigDigest, LinkError, Ping};

use crate::convert::{digest_to_wire, member_from_wire, member_to_wire};
use crate::fetch;
use crate::reports;
use crate::state::Control;

/// The maximum number of member updates in one probe.
const MEMBERS_PER_PROBE: usize = 8;

/// The number of peers probed at once after a change; each of them probes as many others.
const PUSH_FANOUT: usize = 3;

/// How often pending changes are pushed. Changes within one interval share the same probes.
const PUSH_INTERVAL: Duration = Duration::from_millis(60);

/// The number of peers probed at once when this instance leaves.
const LEAVE_FANOUT: usize = 8;

/// Probes a random peer at the gossip interval.
pub(crate) async fn run(control: Rc<Control>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        join_configured_peers(&control, &executor).await;
        let interval_ms = control.settings.gossip_interval_ms;
        let jitter_ms = fastrand::u64(..=interval_ms / 5);
        Timer::after(Duration::from_millis(interval_ms * 9 / 10 + jitter_ms)).await;
        let now_ms = control.now_ms();
        control.members.borrow_mut().tick(now_ms);
        let targets = control
            .members
            .borrow()
            .probe_targets(1, &mut fastrand::Rng::new());
        for target in targets {
            probe(&control, &target).await;
        }
        control.publish_members();
    }
}

/// Pushes each change to some peers at once if not all instances watch the store.
///
/// The probes run side by side, so that a peer that is cut off does not delay the others.
pub(crate) async fn push_changes(control: Rc<Control>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        Timer::after(PUSH_INTERVAL).await;
        if !control.has_unsent_changes.replace(false) || !control.has_non_watchers() {
            continue;
        }
        let targets = control
            .members
            .borrow()
            .probe_targets(PUSH_FANOUT, &mut fastrand::Rng::new());
        for target in targets {
            let control = control.clone();
            executor
                .spawn(async move { probe(&control, &target).await })
                .detach();
        }
    }
}

/// Probes the configured peers, side by side, while the member table holds no other instance.
async fn join_configured_peers(control: &Rc<Control>, executor: &LocalExecutor<'static>) {
    if control.members.borrow().live().len() > 1 {
        return;
    }
    let mut joins = Vec::new();
    for addr in control.settings.peers.clone() {
        let control = control.clone();
        joins.push(executor.spawn(async move { join(&control, addr).await }));
    }
    for join in joins {
        join.await;
    }
    control.peers_tried.set(true);
}

/// Marks this instance as leaving and notifies some peers at once.
pub(crate) async fn leave(control: &Control) {
    control.members.borrow_mut().leave();
    control.publish_members();
    let targets = control
        .members
        .borrow()
        .probe_targets(LEAVE_FANOUT, &mut fastrand::Rng::new());
    for target in targets {
        probe(control, &target).await;
    }
    tracing::info!("member: leaving");
}

/// Probes an address whose instance is not in the member table yet.
pub(crate) async fn join(control: &Control, addr: SocketAddr) {
    if addr.to_string() == control.settings.peer_addr {
        return;
    }
    match exchange(control, addr, true).await {
        Ok(_) => control.publish_members(),
        Err(err) => tracing::debug!(%addr, error = %err, "member: cannot join"),
    }
}

/// Probes an instance that this one holds for dead and tells it so, which it refutes.
pub(crate) async fn rejoin_lost(control: &Control, lost: &Member) {
    let Ok(addr) = lost.peer_addr.parse() else {
        return;
    };
    let mut update = build_update(control, true);
    update.members.push(member_to_wire(lost));
    if let Err(err) = send(control, addr, update).await {
        tracing::debug!(peer = &*lost.name, error = %err, "member: cannot rejoin");
        return;
    }
    // The other side may have held this instance for dead too. It hears of the refutation at once.
    join(control, addr).await;
    let is_back = |member: &Member| member.status == Status::Alive;
    let members = control.members.borrow();
    if members.get(lost.incarnation).is_some_and(is_back) {
        tracing::info!(peer = &*lost.name, "member: found again");
    }
}

pub(crate) async fn probe(control: &Control, target: &Member) {
    let Ok(addr) = target.peer_addr.parse() else {
        return;
    };
    match exchange(control, addr, false).await {
        Ok(from) if from == target.incarnation => {}
        Ok(_) => record_missed_probe(control, target, "another incarnation answered"),
        Err(err) => record_missed_probe(control, target, &err.to_string()),
    }
}

fn record_missed_probe(control: &Control, target: &Member, why: &str) {
    tracing::info!(peer = &*target.name, why, "member: missed a probe");
    let now_ms = control.now_ms();
    control
        .members
        .borrow_mut()
        .record_missed_probe(target.incarnation, now_ms);
}

/// Probes an address with the latest updates, and returns the incarnation that responded.
async fn exchange(
    control: &Control,
    addr: SocketAddr,
    wants_table: bool,
) -> Result<Incarnation, LinkError> {
    send(control, addr, build_update(control, wants_table)).await
}

/// Sends a probe, applies the response, and returns the incarnation that sent it.
async fn send(control: &Control, addr: SocketAddr, update: Ping) -> Result<Incarnation, LinkError> {
    let timeout = Duration::from_millis(control.settings.gossip_timeout_ms);
    let mut link = control.identity.connect(addr, timeout).await?;
    let ping = control.identity.envelope(Body::Ping(update));
    // A member table takes as long as it arrives.
    let response = link.transfer(&ping, timeout).await?;
    let from = Incarnation::from_u64(response.from);
    let Some(Body::Ack(Ack {
        update: Some(update),
    })) = response.body
    else {
        return Ok(from);
    };
    apply_update(control, from, &update);
    Ok(from)
}

/// Applies a probe and returns the response to it.
pub(crate) fn respond(control: &Control, from: Incarnation, ping: &Ping) -> Ack {
    apply_update(control, from, ping);
    let mut update = build_update(control, false);
    let members = control.members.borrow();
    if ping.wants_table && ping.table_digest != members.digest() {
        update.members = members.snapshot().iter().map(member_to_wire).collect();
    }
    // A sender that this instance lists as suspect or dead must be notified, or it never refutes.
    if let Some(sender) = ping.members.first() {
        let member = members.get(Incarnation::from_u64(sender.incarnation));
        let member = member.filter(|member| member.status != Status::Alive);
        update.members.extend(member.map(member_to_wire));
    }
    Ack {
        update: Some(update),
    }
}

/// Builds the update that a probe or its response carries.
fn build_update(control: &Control, wants_table: bool) -> Ping {
    let members = control.members.borrow_mut().take_updates(MEMBERS_PER_PROBE);
    let replica = control.replica.borrow();
    let empty_kind = control.known_empty_kind();
    let empty_kind = empty_kind.map(|kind| kind_to_wire(control, kind, Digest::default()));
    Ping {
        members: members.iter().map(member_to_wire).collect(),
        table_digest: control.members.borrow().digest(),
        config: Some(digest_to_wire(replica.digest(), 0)),
        kinds: replica
            .digests_by_kind()
            .map(|(kind, digest)| kind_to_wire(control, kind, digest))
            .chain(empty_kind)
            .collect(),
        demands: Vec::new(),
        leaving: Vec::new(),
        wants_table,
        versions: reports::local_reports(control),
    }
}

fn kind_to_wire(control: &Control, kind: &str, digest: Digest) -> ConfigDigest {
    ConfigDigest {
        kind: kind.to_owned(),
        era: control.era_of(kind) + 1,
        ..digest_to_wire(digest, 0)
    }
}

/// Applies what a peer's probe or response says, and requests the objects that this instance lacks.
fn apply_update(control: &Control, from: Incarnation, update: &Ping) {
    let now_ms = control.now_ms();
    // In a small fleet all instances watch, so that the choice need not be followed.
    let watchers = control
        .has_non_watchers()
        .then(|| control.watcher_incarnations());
    for info in &update.members {
        control
            .members
            .borrow_mut()
            .merge(member_from_wire(info), now_ms);
    }
    if watchers.is_some_and(|before| control.watcher_incarnations() != before) {
        // The new watchers must hear of it as soon as of a change.
        control.has_unsent_changes.set(true);
    }
    control
        .trackers
        .borrow_mut()
        .record_reports(from, &update.versions, now_ms);
    fetch::consider(control, update);
}
