//! Gossip: periodic probes of random peers, with updates in both directions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::control::{
    digest_to_wire, member_from_wire, member_to_wire, missing_since, object_from_wire, same_objects,
};
use kernel::Incarnation;
use member::{Absent, Member, Status};
use smol::Timer;
use wire::{Ack, Body, EndpointInfo, Fetch, Link, LinkError, Ping};

use crate::control::state::{ControlState, LeavingEndpoint};

/// The maximum number of members in one probe.
const MAX_PROBE_MEMBERS: usize = 8;

/// The maximum number of leaving endpoints in one probe.
const MAX_PROBE_ENDPOINTS: usize = 16;

/// The number of peers that are probed at once after a configuration change.
const CONFIG_PUSH_PEERS: usize = 3;

/// The number of peers that are probed at once when this instance leaves.
const LEAVE_PUSH_PEERS: usize = 8;

/// The share of probes that request the full member table if the tables differ.
const FULL_TABLE_SHARE: f64 = 0.03;

/// Joins the configured peers, then probes a random peer at every gossip interval.
pub(super) async fn run(control: Rc<ControlState>) {
    for addr in control.shared.settings.peers.clone() {
        join(&control, addr).await;
    }
    loop {
        let interval_ms = control.shared.settings.gossip_interval_ms;
        let jitter_ms = fastrand::u64(..=interval_ms / 5);
        Timer::after(Duration::from_millis(interval_ms * 9 / 10 + jitter_ms)).await;
        control.table.borrow_mut().tick(control.now_ms());
        control.collect_leaving();
        control.record_demand();
        control.mark_view_outdated();
        let targets = control
            .table
            .borrow()
            .probe_targets(1, &mut fastrand::Rng::new());
        for target in targets {
            probe(&control, &target).await;
        }
        join_while_alone(&control).await;
    }
}

/// Joins the configured peers again while no other live instance is known.
async fn join_while_alone(control: &Rc<ControlState>) {
    if control.table.borrow().live().len() > 1 {
        return;
    }
    for addr in control.shared.settings.peers.clone() {
        join(control, addr).await;
    }
}

/// Probes one absent instance at every gossip interval.
pub(super) async fn rejoin(control: Rc<ControlState>) {
    loop {
        let interval_ms = control.shared.settings.gossip_interval_ms;
        let jitter_ms = fastrand::u64(..=interval_ms / 5);
        Timer::after(Duration::from_millis(interval_ms * 9 / 10 + jitter_ms)).await;
        let absent = Absent::choose(
            &control.table.borrow(),
            &control.shared.settings.peers,
            &mut fastrand::Rng::new(),
        );
        match absent {
            Some(Absent::Lost(member)) => rejoin_lost(&control, &member).await,
            Some(Absent::Configured(addr)) => join(&control, addr).await,
            None => {}
        }
    }
}

/// Probes an instance that this one holds for dead and tells it so, which it refutes.
async fn rejoin_lost(control: &Rc<ControlState>, lost: &Member) {
    let Ok(addr) = lost.peer_addr.parse() else {
        return;
    };
    let mut update = build_update(control, true);
    update.members.push(member_to_wire(lost));
    if let Err(err) = send(control, addr, update).await {
        tracing::debug!("member: cannot rejoin {}, {err}", lost.name);
        return;
    }
    // The other side may have held this instance for dead too. It hears of the refutation at once.
    join(control, addr).await;
}

/// Probes some peers at once to spread a configuration change.
pub(super) async fn push_config(control: &Rc<ControlState>) {
    let targets = control
        .table
        .borrow()
        .probe_targets(CONFIG_PUSH_PEERS, &mut fastrand::Rng::new());
    for target in targets {
        probe(control, &target).await;
    }
}

/// Marks this instance as leaving and probes some peers at once to spread it.
pub(super) async fn leave(control: &Rc<ControlState>) {
    control.table.borrow_mut().leave();
    control.mark_view_outdated();
    let targets = control
        .table
        .borrow()
        .probe_targets(LEAVE_PUSH_PEERS, &mut fastrand::Rng::new());
    for target in targets {
        probe(control, &target).await;
    }
    tracing::info!("member: leaving");
}

/// Probes the address of an instance that is not in the member table yet.
pub(super) async fn join(control: &Rc<ControlState>, addr: SocketAddr) {
    if addr == control.shared.settings.peer_listen {
        return;
    }
    if let Err(err) = exchange(control, addr, true).await {
        tracing::debug!("member: cannot join {addr}, {err}");
    }
}

async fn probe(control: &Rc<ControlState>, target: &Member) {
    let Ok(addr) = target.peer_addr.parse() else {
        return;
    };
    let wants_table = fastrand::f64() < FULL_TABLE_SHARE;
    match exchange(control, addr, wants_table).await {
        Ok(from) if from == target.incarnation => {}
        Ok(_) => control
            .table
            .borrow_mut()
            .record_missed_probe(target.incarnation, control.now_ms()),
        Err(err) => {
            tracing::debug!("member: {} missed a probe, {err}", target.name);
            control
                .table
                .borrow_mut()
                .record_missed_probe(target.incarnation, control.now_ms());
        }
    }
}

/// Probes an address with the latest updates, and returns the incarnation that replied.
async fn exchange(
    control: &Rc<ControlState>,
    addr: SocketAddr,
    wants_table: bool,
) -> Result<Incarnation, LinkError> {
    send(control, addr, build_update(control, wants_table)).await
}

/// Sends a probe, applies the reply and returns the incarnation that sent it.
async fn send(
    control: &Rc<ControlState>,
    addr: SocketAddr,
    update: Ping,
) -> Result<Incarnation, LinkError> {
    let timeout = Duration::from_millis(control.shared.settings.gossip_timeout_ms);
    let mut link = control.shared.connect_peer(addr, timeout).await?;
    let ping = control.shared.identity.envelope(Body::Ping(update));
    // A member table takes as long as it arrives.
    let reply = link.transfer(&ping, timeout).await?;
    control.record_contact();
    let from = Incarnation::from_u64(reply.from);
    let Some(Body::Ack(Ack {
        update: Some(update),
    })) = reply.body
    else {
        return Ok(from);
    };
    apply_update(control, &update);
    let now_ms = control.now_ms();
    control
        .quota_shares
        .borrow_mut()
        .apply_averages(&update.demands, now_ms);
    if let Some(since) = missing_after(control, &update) {
        fetch(control, &mut link, since, timeout).await?;
    }
    adopt_complete_revision(control, &update);
    Ok(from)
}

/// Applies a probe and returns the reply.
pub(super) fn answer_ping(control: &ControlState, ping: &Ping) -> Ack {
    control.record_contact();
    apply_update(control, ping);
    adopt_complete_revision(control, ping);
    let now_ms = control.now_ms();
    let demands = control
        .quota_shares
        .borrow_mut()
        .average_with(&ping.demands, now_ms);
    let differs = ping.table_digest != control.table.borrow().digest();
    let mut update = Ping {
        demands,
        ..build_update(control, false)
    };
    if ping.wants_table && differs {
        update.members = control
            .table
            .borrow()
            .snapshot()
            .iter()
            .map(member_to_wire)
            .collect();
    }
    // A sender that is suspect or dead here must learn of it, or it never refutes it.
    if let Some(sender) = ping.members.first() {
        let held = control
            .table
            .borrow()
            .get(Incarnation::from_u64(sender.incarnation))
            .cloned();
        update.members.extend(
            held.filter(|held| held.status != Status::Alive)
                .iter()
                .map(member_to_wire),
        );
    }
    Ack {
        update: Some(update),
    }
}

/// Fetches the configuration objects that the sender of a probe has and this instance lacks.
pub(super) async fn catch_up(control: &Rc<ControlState>, ping: &Ping) -> Result<(), LinkError> {
    let Some(since) = missing_after(control, ping) else {
        return Ok(());
    };
    let Some(Ok(addr)) = ping.members.first().map(|member| member.peer_addr.parse()) else {
        return Ok(());
    };
    let timeout = Duration::from_millis(control.shared.settings.gossip_timeout_ms);
    let mut link = control.shared.connect_peer(addr, timeout).await?;
    fetch(control, &mut link, since, timeout).await?;
    adopt_complete_revision(control, ping);
    Ok(())
}

/// Adopts a peer's complete revision if both hold the same objects.
///
/// The highest revision held is not enough: a peer may have a later object and lack an earlier one.
fn adopt_complete_revision(control: &ControlState, update: &Ping) {
    let Some(theirs) = &update.config else {
        return;
    };
    let mine = control.replica.borrow().digest();
    if same_objects(theirs, mine) {
        control.set_complete_revision(theirs.complete_revision);
    }
}

/// Returns the revision after which a peer has objects that this instance lacks.
fn missing_after(control: &ControlState, update: &Ping) -> Option<u64> {
    missing_since(update.config.as_ref()?, control.replica.borrow().digest())
}

async fn fetch(
    control: &Rc<ControlState>,
    link: &mut Link,
    since: u64,
    timeout: Duration,
) -> Result<(), LinkError> {
    let request = control.shared.identity.envelope(Body::Fetch(Fetch {
        since,
        ..Fetch::default()
    }));
    let reply = link.transfer(&request, timeout).await?;
    let Some(Body::Objects(objects)) = reply.body else {
        return Ok(());
    };
    let objects = objects
        .objects
        .iter()
        .filter_map(object_from_wire)
        .collect();
    let fresh = control.apply_objects(objects);
    control.set_configured();
    if fresh {
        Box::pin(push_config(control)).await;
    }
    Ok(())
}

/// Builds the content of a probe or its reply.
fn build_update(control: &ControlState, wants_table: bool) -> Ping {
    let members = control.table.borrow_mut().take_updates(MAX_PROBE_MEMBERS);
    let mut leaving = Vec::new();
    for endpoint in control
        .leaving
        .borrow()
        .iter()
        .rev()
        .take(MAX_PROBE_ENDPOINTS)
    {
        leaving.push(EndpointInfo {
            pool: endpoint.pool.to_string(),
            name: endpoint.name.to_string(),
            addr: endpoint.addr.to_string(),
        });
    }
    Ping {
        members: members.iter().map(member_to_wire).collect(),
        table_digest: control.table.borrow().digest(),
        config: Some(digest_to_wire(
            control.replica.borrow().digest(),
            control.complete_revision.get(),
        )),
        demands: control.quota_shares.borrow().demands(),
        leaving,
        wants_table,
        versions: Vec::new(),
        kinds: Vec::new(),
    }
}

fn apply_update(control: &ControlState, update: &Ping) {
    let now_ms = control.now_ms();
    for info in &update.members {
        if control
            .table
            .borrow_mut()
            .merge(member_from_wire(info), now_ms)
        {
            control.mark_view_outdated();
        }
    }
    for endpoint in &update.leaving {
        control.mark_endpoint_leaving(LeavingEndpoint {
            pool: endpoint.pool.as_str().into(),
            name: endpoint.name.as_str().into(),
            addr: endpoint.addr.as_str().into(),
        });
    }
}
