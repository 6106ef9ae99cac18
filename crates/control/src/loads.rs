//! Exchange of the loads and rate limits of endpoints, and of the requests and prompt parts that crash
//! them, between instances, by datagrams.
//!
//! It answers loads at which one instance's own requests say little about an endpoint: each report
//! is as fresh as a few requests, and a lost one is replaced by the next.

use std::collections::HashSet;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use kernel::Incarnation;
use limits::CrashReport;
use serve::{ColdEntry, LimitEntry};
use wire::{Body, ColdEndpoint, CutOff, EndpointLimit, Envelope, LoadReport};

use crate::convert::crash_to_wire;
use crate::load_plan::{LoadPlan, Scope};
use crate::peer_loads::CutOffInstances;
use crate::peers;
use crate::state::Control;

/// The largest report, in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// The shortest interval between reports when rate limits keep changing. A change crosses a large
/// fleet in three reports.
const MIN_LIMIT_INTERVAL: Duration = Duration::from_millis(50);

/// The pause after a receive error.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Sends the reports of this instance's plan.
pub(crate) async fn send(control: Rc<Control>, socket: Rc<Async<UdpSocket>>) {
    loop {
        let interval = plan(&control).interval;
        wait(&control, interval).await;
        apply_sums(&control);
        let with_paces = control.peer_paces.borrow_mut().is_due(control.now_ms());
        for recipient in plan(&control).recipients {
            let mut report = report(&control, &recipient.scope);
            if with_paces {
                add_paces(&control, &recipient.scope, &mut report);
            }
            let peer = &*recipient.peer_addr;
            if let Err(err) = send_report(&control, &socket, peer, report).await {
                tracing::debug!(peer, error = %err, "member: load report not sent");
            }
        }
    }
}

/// Waits for the interval between reports, or less if a rate limit changes or an endpoint becomes cold, which
/// must hold at the other instances soon.
async fn wait(control: &Control, interval: Duration) {
    let shortest = interval.min(MIN_LIMIT_INTERVAL);
    Timer::after(shortest).await;
    let timer = async {
        Timer::after(interval - shortest).await;
    };
    let loads = &control.shared_loads;
    let news = loads.limits().changed().or(loads.cold().changed());
    timer.or(news).await;
}

fn plan(control: &Control) -> LoadPlan {
    let members = control.members.borrow();
    LoadPlan::new(members.local(), &members.live())
}

/// Returns the sums of this instance's loads and of those that the peers in the scope reported.
fn report(control: &Control, scope: &Scope) -> LoadReport {
    let peer_loads = control.peer_loads.borrow();
    let counts = |peer: Incarnation| scope.includes(peer);
    let mut sums = peer_loads.sums(counts);
    for entry in control.shared_loads.own() {
        let sum = sums.entry(entry.endpoint).or_default();
        *sum = sum.saturating_add(entry.units);
    }
    let mut reached_again = peer_loads.reached_again(counts);
    reached_again.extend(control.shared_loads.reached_again(control.now_ms()));
    let mut report = LoadReport {
        reached_again: reached_again.into_iter().collect(),
        limits: limits(control),
        leaving: control.shared_loads.leaving(),
        out_of_reach: control.shared_loads.out_of_reach(),
        crashes: crashes(control, peer_loads.crashes(counts)),
        cut_off: cut_off(control, peer_loads.cut_off(counts)),
        cold: cold(control),
        ..LoadReport::default()
    };
    for (endpoint, units) in sums {
        report.endpoints.push(endpoint);
        report.units.push(units);
    }
    report
}

fn limits(control: &Control) -> Vec<EndpointLimit> {
    let mut limits = Vec::new();
    for entry in control.shared_loads.limits().recent(control.now_ms()) {
        if !entry.may_be_passed_on() {
            continue;
        }
        limits.push(EndpointLimit {
            endpoint: entry.endpoint,
            limit_per_s: entry.limit_per_s,
            age_ms: entry.age_ms,
            hops: entry.hops,
        });
    }
    limits
}

fn cold(control: &Control) -> Vec<ColdEndpoint> {
    let entries = control.shared_loads.cold().to_report(control.now_ms());
    let to_wire = |entry: ColdEntry| ColdEndpoint {
        endpoint: entry.endpoint,
        left_ms: entry.left_ms,
        hops: entry.hops,
    };
    entries.into_iter().map(to_wire).collect()
}

fn record_cold(control: &Control, cold: &[ColdEndpoint], now_ms: u64) {
    for endpoint in cold {
        let entry = ColdEntry {
            endpoint: endpoint.endpoint,
            left_ms: endpoint.left_ms,
            hops: endpoint.hops,
        };
        control.shared_loads.cold().merge(entry, now_ms);
    }
}

/// Joins what this instance knows of crashes with what peers report.
fn crashes(control: &Control, of_peers: Vec<CrashReport>) -> Vec<wire::CrashReport> {
    let now_ms = control.now_ms();
    let own = control.shared_loads.crashes().reported(now_ms);
    let joined = CrashReport::join(own.into_iter().chain(of_peers));
    let to_wire = |report: &CrashReport| crash_to_wire(report, now_ms);
    joined.iter().map(to_wire).collect()
}

/// Joins the services of which this instance reaches no endpoint with what peers report.
fn cut_off(control: &Control, mut instances: CutOffInstances) -> Vec<CutOff> {
    for service in control.shared_loads.cut_off() {
        let cut_off = instances.entry(service).or_default();
        cut_off.insert(control.incarnation);
    }
    let to_wire = |(service, instances): (u64, HashSet<Incarnation>)| CutOff {
        service,
        instances: instances.iter().map(|found| found.as_u64()).collect(),
    };
    instances.into_iter().map(to_wire).collect()
}

fn record_limits(control: &Control, limits: &[EndpointLimit], now_ms: u64) {
    for limit in limits {
        let entry = LimitEntry {
            endpoint: limit.endpoint,
            limit_per_s: limit.limit_per_s,
            age_ms: limit.age_ms,
            hops: limit.hops,
        };
        control.shared_loads.limits().merge(entry, now_ms);
    }
}

async fn send_report(
    control: &Control,
    socket: &Async<UdpSocket>,
    peer: &str,
    report: LoadReport,
) -> std::io::Result<()> {
    let addr: SocketAddr = peer.parse().map_err(std::io::Error::other)?;
    let envelope = control.identity.envelope(Body::Loads(report));
    socket.send_to(&envelope.encode_frame(), addr).await?;
    Ok(())
}

/// Receives the loads of other instances.
pub(crate) async fn receive(control: Rc<Control>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; MAX_REPORT_BYTES];
    loop {
        turn::yield_if_over().await;
        let received = socket.recv_from(&mut buffer).await;
        let (length, peer) = match received {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(error = %err, "member: load reports not received");
                Timer::after(ERROR_PAUSE).await;
                continue;
            }
        };
        match Envelope::decode_frame(&buffer[..length]) {
            Ok(envelope) if control.identity.refuses(&envelope) => {
                peers::log_other_fleet(&control, &envelope.fleet);
            }
            Ok(Envelope {
                from,
                body: Some(Body::Loads(loads)),
                ..
            }) => {
                let now_ms = control.now_ms();
                let from = Incarnation::from_u64(from);
                record_limits(&control, &loads.limits, now_ms);
                record_cold(&control, &loads.cold, now_ms);
                control.shared_loads.record_leaving(&loads.leaving);
                control.peer_paces.borrow_mut().record(from, &loads, now_ms);
                control.peer_loads.borrow_mut().record(from, loads, now_ms);
            }
            Ok(_) => tracing::debug!(%peer, "member: datagram is no load report"),
            Err(err) => tracing::debug!(%peer, error = %err, "member: load report unreadable"),
        }
    }
}

fn add_paces(control: &Control, scope: &Scope, report: &mut LoadReport) {
    let now_ms = control.now_ms();
    let own = control.shared_loads.paces().own(now_ms);
    let peer_paces = control.peer_paces.borrow();
    peer_paces.add_to(report, scope, own, now_ms);
}

fn apply_paces(control: &Control) {
    let now_ms = control.now_ms();
    let mut peer_paces = control.peer_paces.borrow_mut();
    peer_paces.expire(now_ms);
    let sums = peer_paces.sums(|_| true, now_ms);
    control.shared_loads.paces().set_peers(&sums, now_ms);
}

fn apply_sums(control: &Control) {
    apply_paces(control);
    let mut peer_loads = control.peer_loads.borrow_mut();
    peer_loads.expire(control.now_ms());
    control.shared_loads.set_peers(&peer_loads.sums(|_| true));
    control.shared_loads.set_peer_reach(peer_loads.reach());
    control
        .shared_loads
        .set_peers_cut_off(peer_loads.cut_off(|_| true));
    let reached = peer_loads.reached_again(|_| true);
    let now_ms = control.now_ms();
    control.shared_loads.set_reached_by_peers(&reached, now_ms);
    let reports = peer_loads.crashes(|_| true);
    let crashes = control.shared_loads.crashes();
    crashes.set_peers(&reports, control.now_ms());
}
