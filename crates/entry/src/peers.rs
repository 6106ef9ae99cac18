//! The listener for other instances.
//!
//! Receipts to hold are taken here, beside the requests, since a request of a peer waits for it. All
//! other messages go to the control thread.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use async_io::Async;
use kernel::Incarnation;
use smol::Timer;
use wire::{Body, Envelope, Link};

use crate::state::messages::PeerMessage;
use crate::state::shared::Shared;

/// How long accepting pauses after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves peers.
pub(crate) async fn run(shared: Arc<Shared>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = Link::new(stream).metered(&shared.peer_bytes);
                shared.executor.spawn(serve(shared.clone(), link)).detach();
            }
            Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
        }
    }
}

async fn serve(shared: Arc<Shared>, mut link: Link) {
    while let Ok(envelope) = link.receive().await {
        let from = Incarnation::from_u64(envelope.from);
        let Some(body) = envelope.body else {
            return;
        };
        let answer = match body {
            Body::ReceiptBatch(hold) => {
                Some(Body::AcceptReply(shared.peer_receipts.accept(from, &hold)))
            }
            body => ask_control(&shared, from, body).await,
        };
        let Some(answer) = answer else {
            return;
        };
        let envelope = Envelope::new(shared.incarnation.as_u64(), answer);
        if link.send(&envelope).await.is_err() {
            return;
        }
    }
}

async fn ask_control(shared: &Shared, from: Incarnation, body: Body) -> Option<Body> {
    let (reply, receiver) = bounded(1);
    shared
        .peer_messages
        .send(PeerMessage { from, body, reply })
        .await
        .ok()?;
    receiver.recv().await.ok()
}
