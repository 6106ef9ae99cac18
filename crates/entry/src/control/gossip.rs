//! Probes of random peers, which carry news both ways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::control::{
    digest_to_wire, member_from_wire, member_to_wire, missing_since, object_from_wire, same_objects,
};
use kernel::Incarnation;
use member::{Member, Status};
use smol::Timer;
use wire::{Ack, Body, EndpointInfo, Envelope, Fetch, Link, LinkError, Ping};

use crate::control::state::{Control, LeavingEndpoint};

/// The most members that one probe tells of.
const NEWS_COUNT: usize = 8;

/// The most leaving endpoints that one probe tells of.
const LEAVING_COUNT: usize = 16;

/// How many peers are told at once of a changed configuration.
const PUSH_COUNT: usize = 3;

/// How many peers are told at once that this instance leaves.
const LEAVE_COUNT: usize = 8;

/// The share of probes that ask for the whole table when the tables differ.
const TABLE_SHARE: f64 = 0.03;

/// Probes peers at the set interval.
pub(super) async fn run(control: Rc<Control>) {
    for addr in control.shared.settings.peers.clone() {
        join(&control, addr).await;
    }
    loop {
        let interval_ms = control.shared.settings.gossip_interval_ms;
        let jitter_ms = fastrand::u64(..=interval_ms / 5);
        Timer::after(Duration::from_millis(interval_ms * 9 / 10 + jitter_ms)).await;
        control.table.borrow_mut().tick(control.now_ms());
        control.collect_leaving();
        control.refresh_shares();
        control.touch();
        let targets = control
            .table
            .borrow()
            .probe_targets(1, &mut fastrand::Rng::new());
        for target in targets {
            probe(&control, &target).await;
        }
        rejoin(&control).await;
    }
}

/// Asks the configured peers again while no other instance is known.
async fn rejoin(control: &Rc<Control>) {
    if control.table.borrow().live().len() > 1 {
        return;
    }
    for addr in control.shared.settings.peers.clone() {
        join(control, addr).await;
    }
}

/// Tells some peers at once that the configuration changed.
pub(super) async fn push(control: &Rc<Control>) {
    let targets = control
        .table
        .borrow()
        .probe_targets(PUSH_COUNT, &mut fastrand::Rng::new());
    for target in targets {
        probe(control, &target).await;
    }
}

/// Starts to leave and tells some peers at once.
pub(super) async fn leave(control: &Rc<Control>) {
    control.table.borrow_mut().leave();
    control.touch();
    let targets = control
        .table
        .borrow()
        .probe_targets(LEAVE_COUNT, &mut fastrand::Rng::new());
    for target in targets {
        probe(control, &target).await;
    }
    tracing::info!("member: leaving");
}

/// Probes an address whose member is not known yet.
pub(super) async fn join(control: &Rc<Control>, addr: SocketAddr) {
    if addr == control.shared.settings.peer_listen {
        return;
    }
    if let Err(err) = exchange(control, addr, true).await {
        tracing::debug!("member: cannot join {addr}, {err}");
    }
}

async fn probe(control: &Rc<Control>, target: &Member) {
    let Ok(addr) = target.peer_addr.parse() else {
        return;
    };
    let wants_table = fastrand::f64() < TABLE_SHARE;
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

/// Sends a probe, takes in the answer and returns who answered.
async fn exchange(
    control: &Rc<Control>,
    addr: SocketAddr,
    wants_table: bool,
) -> Result<Incarnation, LinkError> {
    let timeout = Duration::from_millis(control.shared.settings.gossip_timeout_ms);
    let mut link = Link::connect(addr, timeout)
        .await?
        .metered(&control.shared.peer_bytes);
    let ping = Envelope::new(
        control.shared.incarnation.as_u64(),
        Body::Ping(news(control, wants_table)),
    );
    let answer = link.call(&ping, timeout).await?;
    control.heard();
    let from = Incarnation::from_u64(answer.from);
    let Some(Body::Ack(Ack { update: Some(news) })) = answer.body else {
        return Ok(from);
    };
    absorb(control, &news);
    let now_ms = control.now_ms();
    control.shares.borrow_mut().met(&news.demands, now_ms);
    if let Some(since) = lacks_since(control, &news) {
        fetch(control, &mut link, since, timeout).await?;
    }
    compare(control, &news);
    Ok(from)
}

/// Answers a probe.
pub(super) fn answer(control: &Control, ping: &Ping) -> Ack {
    control.heard();
    absorb(control, ping);
    compare(control, ping);
    let now_ms = control.now_ms();
    let demands = control.shares.borrow_mut().meet(&ping.demands, now_ms);
    let differs = ping.table_digest != control.table.borrow().digest();
    let mut news = Ping {
        demands,
        ..news(control, false)
    };
    if ping.wants_table && differs {
        news.members = control
            .table
            .borrow()
            .snapshot()
            .iter()
            .map(member_to_wire)
            .collect();
    }
    // A sender that is thought dead must hear so, or it never refutes.
    if let Some(sender) = ping.members.first() {
        let held = control
            .table
            .borrow()
            .get(Incarnation::from_u64(sender.incarnation))
            .cloned();
        news.members.extend(
            held.filter(|held| held.status != Status::Alive)
                .iter()
                .map(member_to_wire),
        );
    }
    Ack { update: Some(news) }
}

/// Fetches what a peer that probed has and this instance lacks.
pub(super) async fn catch_up(control: &Rc<Control>, ping: &Ping) -> Result<(), LinkError> {
    let Some(since) = lacks_since(control, ping) else {
        return Ok(());
    };
    let Some(Ok(addr)) = ping.members.first().map(|member| member.peer_addr.parse()) else {
        return Ok(());
    };
    let timeout = Duration::from_millis(control.shared.settings.gossip_timeout_ms);
    let mut link = Link::connect(addr, timeout)
        .await?
        .metered(&control.shared.peer_bytes);
    fetch(control, &mut link, since, timeout).await?;
    compare(control, ping);
    Ok(())
}

/// Takes over up to which revision a peer's objects are complete, if they are the same as here.
///
/// The highest revision held does not tell: a peer may hold a later object and lack an earlier one.
fn compare(control: &Control, news: &Ping) {
    let Some(theirs) = news.config else {
        return;
    };
    let mine = control.replica.borrow().digest();
    if same_objects(&theirs, mine) {
        control.complete_up_to(theirs.complete_revision);
    }
}

/// Returns the revision after which a peer has objects that this instance lacks.
fn lacks_since(control: &Control, news: &Ping) -> Option<u64> {
    missing_since(news.config.as_ref()?, control.replica.borrow().digest())
}

async fn fetch(
    control: &Rc<Control>,
    link: &mut Link,
    since: u64,
    timeout: Duration,
) -> Result<(), LinkError> {
    let ask = Envelope::new(
        control.shared.incarnation.as_u64(),
        Body::Fetch(Fetch { since }),
    );
    let answer = link.call(&ask, timeout).await?;
    let Some(Body::Objects(objects)) = answer.body else {
        return Ok(());
    };
    let objects = objects
        .objects
        .iter()
        .filter_map(object_from_wire)
        .collect();
    let fresh = control.take_objects(objects);
    control.set_configured();
    if fresh {
        Box::pin(push(control)).await;
    }
    Ok(())
}

/// Gathers what a probe or its answer says.
fn news(control: &Control, wants_table: bool) -> Ping {
    let members = control.table.borrow_mut().take_updates(NEWS_COUNT);
    let mut leaving = Vec::new();
    for endpoint in control.leaving.borrow().iter().rev().take(LEAVING_COUNT) {
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
        demands: control.shares.borrow().demands(),
        leaving,
        wants_table,
        versions: Vec::new(),
    }
}

fn absorb(control: &Control, news: &Ping) {
    let now_ms = control.now_ms();
    for info in &news.members {
        if control
            .table
            .borrow_mut()
            .merge(member_from_wire(info), now_ms)
        {
            control.touch();
        }
    }
    for endpoint in &news.leaving {
        control.endpoint_leaves(LeavingEndpoint {
            pool: endpoint.pool.as_str().into(),
            name: endpoint.name.as_str().into(),
            addr: endpoint.addr.as_str().into(),
        });
    }
}
