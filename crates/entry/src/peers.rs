//! The listener for other instances.
//!
//! Receipts to hold are accepted on the traffic threads, since a request at the sender waits for the
//! reply. All other messages go to the control thread.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use async_io::Async;
use kernel::Incarnation;
use smol::Timer;
use wire::{Body, Link, LinkError};

use crate::state::messages::PeerMessage;
use crate::state::shared::Shared;

/// The pause after a failed accept, which otherwise would be retried in a busy loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections of peers and serves each in a task of its own.
pub(crate) async fn run(shared: Arc<Shared>, listener: Async<TcpListener>) {
    loop {
        turn::yield_if_over().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = shared.identity.accept(stream).metered(&shared.peer_bytes);
                shared.executor.spawn(serve(shared.clone(), link)).detach();
            }
            Err(_) => drop(Timer::after(ACCEPT_ERROR_PAUSE).await),
        }
    }
}

/// Serves a peer's messages until it closes the link.
async fn serve(shared: Arc<Shared>, mut link: Link) {
    let mut home = None;
    serve_messages(&shared, &mut link, &mut home).await;
    if let Some(home) = home {
        // If the queue is full, the receipts are saved once the home counts as dead.
        let _ = shared.closed_links.try_send(home);
    }
}

/// Serves a peer's messages, and sets `home` to the peer once it has sent receipts to hold.
async fn serve_messages(shared: &Shared, link: &mut Link, home: &mut Option<Incarnation>) {
    loop {
        let envelope = match link.receive().await {
            Ok(envelope) => envelope,
            Err(err @ LinkError::OtherFleet(_)) => {
                shared.log_other_fleet(&err);
                return;
            }
            Err(_) => return,
        };
        let from = Incarnation::from_u64(envelope.from);
        let Some(body) = envelope.body else {
            return;
        };
        let reply = match body {
            Body::ReceiptBatch(batch) => {
                *home = Some(from);
                Some(Body::AcceptReply(shared.peer_receipts.accept(from, &batch)))
            }
            body => call_control(shared, from, body).await,
        };
        let Some(reply) = reply else {
            return;
        };
        if link.send(&shared.identity.envelope(reply)).await.is_err() {
            return;
        }
    }
}

async fn call_control(shared: &Shared, from: Incarnation, body: Body) -> Option<Body> {
    let (reply, receiver) = bounded(1);
    shared
        .peer_messages
        .send(PeerMessage { from, body, reply })
        .await
        .ok()?;
    receiver.recv().await.ok()
}
