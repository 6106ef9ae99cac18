//! Exchange of endpoint loads between instances, by datagrams.
//!
//! It answers loads at which one instance's own requests say little about an endpoint: each report
//! is as fresh as a few requests, and a lost one is replaced by the next.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use kernel::Incarnation;
use wire::{Body, Envelope, LoadReport};

use crate::state::Control;

/// The largest number of peers that reports are exchanged with. In a larger fleet each instance
/// sends too small a part of the traffic for its reports to be worth their number.
const MAX_PEERS: usize = 15;

/// The interval between the reports to one peer, per peer: bounds the reports of an instance to 80 a
/// second.
const INTERVAL_PER_PEER: Duration = Duration::from_micros(12_500);

const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The largest report, in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// The pause after a receive error.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Sends this instance's loads to the other instances.
pub(crate) async fn send(control: Rc<Control>, socket: Rc<Async<UdpSocket>>) {
    loop {
        let peers = peer_addrs(&control);
        let interval = INTERVAL_PER_PEER * peers.len() as u32;
        Timer::after(interval.max(MIN_INTERVAL)).await;
        apply_sums(&control);
        if peers.is_empty() || peers.len() > MAX_PEERS {
            continue;
        }
        let mut report = LoadReport::default();
        for entry in control.shared_loads.own() {
            report.endpoints.push(entry.endpoint);
            report.units.push(entry.units);
        }
        let envelope = Envelope::new(control.incarnation.as_u64(), Body::Loads(report));
        let bytes = envelope.encode_frame();
        for peer in peers {
            if let Err(err) = socket.send_to(&bytes, peer).await {
                tracing::debug!(%peer, error = %err, "member: load report not sent");
            }
        }
    }
}

/// Receives the loads of other instances.
pub(crate) async fn receive(control: Rc<Control>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; MAX_REPORT_BYTES];
    loop {
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
            Ok(Envelope {
                from,
                body: Some(Body::Loads(loads)),
            }) => {
                let now_ms = control.now_ms();
                let from = Incarnation::from_u64(from);
                control.peer_loads.borrow_mut().record(from, loads, now_ms);
            }
            Ok(_) => tracing::debug!(%peer, "member: datagram is no load report"),
            Err(err) => tracing::debug!(%peer, error = %err, "member: load report unreadable"),
        }
    }
}

fn apply_sums(control: &Control) {
    let now_ms = control.now_ms();
    let sums = control.peer_loads.borrow_mut().sums(now_ms);
    control.shared_loads.set_peers(&sums);
}

fn peer_addrs(control: &Control) -> Vec<SocketAddr> {
    let members = control.members.borrow();
    let mut addrs = Vec::new();
    for member in members.live() {
        if member.incarnation == control.incarnation {
            continue;
        }
        let Ok(addr) = member.peer_addr.parse() else {
            continue;
        };
        addrs.push(addr);
    }
    addrs
}
