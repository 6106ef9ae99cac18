//! Probes of random peers, which carry news both ways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use kernel::Incarnation;
use member::{Member, Status};
use wire::{Ack, Body, Envelope, Fetch, Link, LinkError, Ping};

use crate::convert::{
    digest_to_wire, member_from_wire, member_to_wire, missing_since, object_from_wire,
};
use crate::reports;
use crate::state::Control;

/// The most members that one probe tells of.
const NEWS_COUNT: usize = 8;

/// How many peers are told at once of a change; each tells as many others.
const PUSH_COUNT: usize = 3;

/// How often an instance looks whether there is a change to tell of: changes that come together are
/// told together.
const PUSH_TICK: Duration = Duration::from_millis(60);

/// How many peers are told at once that this instance leaves.
const LEAVE_COUNT: usize = 8;

/// Probes peers at the set interval.
pub(crate) async fn run(control: Rc<Control>) {
    loop {
        rejoin(&control).await;
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

/// Tells some peers of each change at once, where not all watch the store.
pub(crate) async fn push(control: Rc<Control>) {
    loop {
        Timer::after(PUSH_TICK).await;
        if !control.untold.replace(false) || !control.has_listeners() {
            continue;
        }
        let targets = control
            .members
            .borrow()
            .probe_targets(PUSH_COUNT, &mut fastrand::Rng::new());
        for target in targets {
            probe(&control, &target).await;
        }
    }
}

/// Asks the configured peers while no other instance is known.
async fn rejoin(control: &Control) {
    if control.members.borrow().live().len() > 1 {
        return;
    }
    for addr in control.settings.peers.clone() {
        join(control, addr).await;
    }
}

/// Starts to leave and tells some peers at once.
pub(crate) async fn leave(control: &Control) {
    control.members.borrow_mut().leave();
    control.publish_members();
    let targets = control
        .members
        .borrow()
        .probe_targets(LEAVE_COUNT, &mut fastrand::Rng::new());
    for target in targets {
        probe(control, &target).await;
    }
    tracing::info!("member: leaving");
}

/// Probes an address whose member is not known yet.
pub(crate) async fn join(control: &Control, addr: SocketAddr) {
    if addr.to_string() == control.settings.peer_addr {
        return;
    }
    match exchange(control, addr, true).await {
        Ok(_) => control.publish_members(),
        Err(err) => tracing::debug!(%addr, error = %err, "member: cannot join"),
    }
}

async fn probe(control: &Control, target: &Member) {
    let Ok(addr) = target.peer_addr.parse() else {
        return;
    };
    match exchange(control, addr, false).await {
        Ok(from) if from == target.incarnation => {}
        Ok(_) => missed(control, target, "another incarnation answered"),
        Err(err) => missed(control, target, &err.to_string()),
    }
}

fn missed(control: &Control, target: &Member, why: &str) {
    tracing::info!(peer = &*target.name, why, "member: missed a probe");
    let now_ms = control.now_ms();
    control
        .members
        .borrow_mut()
        .record_missed_probe(target.incarnation, now_ms);
}

/// Sends a probe, takes in the answer and returns who answered.
async fn exchange(
    control: &Control,
    addr: SocketAddr,
    wants_table: bool,
) -> Result<Incarnation, LinkError> {
    let timeout = Duration::from_millis(control.settings.gossip_timeout_ms);
    let mut link = Link::connect(addr, timeout).await?;
    let ping = Envelope::new(control.me.as_u64(), Body::Ping(news(control, wants_table)));
    let answer = link.call(&ping, timeout).await?;
    let from = Incarnation::from_u64(answer.from);
    let Some(Body::Ack(Ack { news: Some(news) })) = answer.body else {
        return Ok(from);
    };
    absorb(control, from, &news);
    if let Some(since) = lacks_since(control, &news) {
        fetch(control, &mut link, since, timeout).await?;
    }
    Ok(from)
}

/// Answers a probe.
pub(crate) fn answer(control: &Control, from: Incarnation, ping: &Ping) -> Ack {
    absorb(control, from, ping);
    let mut news = news(control, false);
    let members = control.members.borrow();
    if ping.wants_table && ping.table_digest != members.digest() {
        news.members = members.snapshot().iter().map(member_to_wire).collect();
    }
    // A sender that is thought dead must hear so, or it never refutes.
    if let Some(sender) = ping.members.first() {
        let held = members.get(Incarnation::from_u64(sender.incarnation));
        let held = held.filter(|held| held.status != Status::Alive);
        news.members.extend(held.map(member_to_wire));
    }
    Ack { news: Some(news) }
}

/// Fetches what a peer that probed has and this instance lacks.
pub(crate) async fn catch_up(control: &Control, ping: &Ping) -> Result<(), LinkError> {
    let Some(since) = lacks_since(control, ping) else {
        return Ok(());
    };
    let Some(Ok(addr)) = ping.members.first().map(|member| member.peer_addr.parse()) else {
        return Ok(());
    };
    let timeout = Duration::from_millis(control.settings.gossip_timeout_ms);
    let mut link = Link::connect(addr, timeout).await?;
    fetch(control, &mut link, since, timeout).await
}

/// Returns the revision after which a peer has objects that this instance lacks and must fetch: the
/// store itself tells of most within a moment.
fn lacks_since(control: &Control, news: &Ping) -> Option<u64> {
    let mine = control.replica.borrow().digest();
    let since = missing_since(news.config.as_ref()?, mine);
    let behind = control.note_behind(since.is_some(), mine.max_revision);
    since.filter(|_| behind || control.needs_peers())
}

async fn fetch(
    control: &Control,
    link: &mut Link,
    since: u64,
    timeout: Duration,
) -> Result<(), LinkError> {
    let ask = Envelope::new(control.me.as_u64(), Body::Fetch(Fetch { since }));
    let answer = link.call(&ask, timeout).await?;
    let Some(Body::Objects(objects)) = answer.body else {
        return Ok(());
    };
    let mut read = Vec::new();
    for entry in &objects.objects {
        match object_from_wire(entry) {
            Some(object) => read.push(object),
            None => tracing::warn!(
                path = entry.path,
                "member: a peer sent an unreadable object"
            ),
        }
    }
    let count = read.len();
    if control.take(read) {
        tracing::info!(since, count, "config: taken from a peer");
    }
    Ok(())
}

/// Gathers what a probe or its answer says.
fn news(control: &Control, wants_table: bool) -> Ping {
    let members = control.members.borrow_mut().take_updates(NEWS_COUNT);
    Ping {
        members: members.iter().map(member_to_wire).collect(),
        table_digest: control.members.borrow().digest(),
        config: Some(digest_to_wire(control.replica.borrow().digest(), 0)),
        demands: Vec::new(),
        leaving: Vec::new(),
        wants_table,
        versions: reports::own(control),
    }
}

fn absorb(control: &Control, from: Incarnation, news: &Ping) {
    let now_ms = control.now_ms();
    for info in &news.members {
        control
            .members
            .borrow_mut()
            .merge(member_from_wire(info), now_ms);
    }
    control.shifts.borrow_mut().note(from, &news.versions);
}
