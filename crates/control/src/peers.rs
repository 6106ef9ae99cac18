//! The server for connections from other instances.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use kernel::Incarnation;
use wire::{Body, Envelope, Link, Objects};

use crate::convert::object_to_wire;
use crate::gossip;
use crate::state::Control;

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
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = Link::new(stream);
                executor.spawn(serve(control.clone(), link)).detach();
            }
            Err(err) => {
                tracing::warn!(error = %err, "member: accept failed");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(control: Rc<Control>, mut link: Link) {
    loop {
        let receive = async { link.receive().await.ok() };
        let expire = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let Some(envelope) = receive.or(expire).await else {
            return;
        };
        let from = Incarnation::from_u64(envelope.from);
        let Some(body) = envelope.body else {
            return;
        };
        let Some(response) = respond(&control, from, &body) else {
            return;
        };
        let envelope = Envelope::new(control.incarnation.as_u64(), response);
        if link.send(&envelope).await.is_err() {
            return;
        }
    }
}

fn respond(control: &Control, from: Incarnation, body: &Body) -> Option<Body> {
    match body {
        Body::Ping(ping) => {
            let ack = gossip::respond(control, from, ping);
            control.publish_members();
            Some(Body::Ack(ack))
        }
        Body::Fetch(fetch) => {
            let replica = control.replica.borrow();
            let objects = replica.since_of(&fetch.kind, fetch.since, MAX_OBJECTS);
            let mut encoded = control.encoded.borrow_mut();
            let mut entries = Vec::with_capacity(objects.len());
            for object in objects {
                entries.push(if fetch.accepts_compressed {
                    encoded.encode(object)
                } else {
                    object_to_wire(object)
                });
            }
            Some(Body::Objects(Objects { objects: entries }))
        }
        _ => None,
    }
}
