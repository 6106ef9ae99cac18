//! The server for connections from other instances.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use kernel::Incarnation;
use wire::{Body, Envelope, Link, LinkError, Objects};

use crate::convert::object_to_wire;
use crate::gossip;
use crate::state::Control;
use crate::uplink::{LARGE_RESPONSE_BYTES, Turn, Uplink};

/// The pause before accepting again after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a peer's connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of objects in one response.
const MAX_OBJECTS: usize = 2_000;

/// Accepts connections of peers and serves each in a task of its own.
pub(crate) async fn run(
    control: Rc<Control>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let uplink = Rc::new(Uplink::new(executor.clone()));
    loop {
        turn::yield_if_over().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = control.identity.accept(stream);
                let serving = serve(control.clone(), uplink.clone(), link);
                executor.spawn(serving).detach();
            }
            Err(err) => {
                tracing::warn!(error = %err, "member: accept failed");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(control: Rc<Control>, uplink: Rc<Uplink>, mut link: Link) {
    let mut turn = None;
    while let Some(envelope) = receive(&control, &mut link).await {
        // The peer has the whole response once it asks again or closes the connection.
        drop(turn.take());
        let from = Incarnation::from_u64(envelope.from);
        let Some(body) = envelope.body else {
            return;
        };
        let Some(mut response) = respond(&control, from, &body) else {
            return;
        };
        let bytes = response.frame_bytes();
        if matches!(body, Body::Fetch(_)) && bytes >= LARGE_RESPONSE_BYTES {
            turn = wait_for_turn(&uplink, &mut link, bytes).await;
            if turn.is_none() {
                return;
            }
            // Later objects may have come meanwhile.
            let Some(latest) = respond(&control, from, &body) else {
                return;
            };
            response = latest;
        }
        if link.send(&response).await.is_err() {
            return;
        }
    }
}

/// Waits for the turn of a large response, and returns `None` if the peer leaves before.
async fn wait_for_turn(uplink: &Uplink, link: &mut Link, bytes: usize) -> Option<Turn> {
    let granted = async { Some(uplink.turn(bytes).await) };
    let left = async {
        drop(link.receive().await);
        None
    };
    granted.or(left).await
}

/// Waits for the next request, and returns `None` if there is none in time.
async fn receive(control: &Control, link: &mut Link) -> Option<Envelope> {
    let receive = async {
        match link.receive().await {
            Ok(envelope) => Some(envelope),
            Err(LinkError::OtherFleet(fleet)) => {
                log_other_fleet(control, &fleet);
                None
            }
            Err(_) => None,
        }
    };
    let expire = async {
        Timer::after(IDLE_TIMEOUT).await;
        None
    };
    receive.or(expire).await
}

fn respond(control: &Control, from: Incarnation, body: &Body) -> Option<Envelope> {
    let response = match body {
        Body::Ping(ping) => {
            let ack = gossip::respond(control, from, ping);
            control.publish_members();
            Body::Ack(ack)
        }
        Body::Fetch(fetch) => {
            let replica = control.replica.borrow();
            let era = replica.era_of(&fetch.kind);
            // The sender's revisions say nothing about objects of another era.
            let is_same_era = fetch.era == 0 || fetch.era == era + 1;
            let since = if is_same_era { fetch.since } else { 0 };
            let objects = replica.since_of(&fetch.kind, since, MAX_OBJECTS);
            let mut encoded = control.encoded.borrow_mut();
            let mut entries = Vec::with_capacity(objects.len());
            for object in objects {
                entries.push(if fetch.accepts_compressed {
                    encoded.encode(era, object)
                } else {
                    object_to_wire(object)
                });
            }
            Body::Objects(Objects {
                objects: entries,
                era: era + 1,
            })
        }
        _ => return None,
    };
    Some(control.identity.envelope(response))
}

/// Logs that a message of another fleet was refused; as a warning the first time only.
pub(crate) fn log_other_fleet(control: &Control, fleet: &str) {
    if control.other_fleet_seen.replace(true) {
        tracing::debug!(fleet, "member: message of another fleet refused");
    } else {
        tracing::warn!(fleet, "member: message of another fleet refused");
    }
}
