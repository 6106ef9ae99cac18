//! Makes receipts durable: a peer holds them first, then they are saved to the object API.
//!
//! Runs on the traffic threads, since the last byte of each answer waits for the receipt.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use kernel::Incarnation;
use member::{Member, receipt_holders};
use receipt::Receipt;
use smol::Timer;
use store::{ObjectApi, Precondition};
use wire::{Body, Envelope, Link, ReceiptBatch};

use crate::state::convert::receipt_to_wire;
use crate::state::messages::PendingReceipt;
use crate::state::outbox::SharedOutbox;
use crate::state::shared::Shared;

/// The largest number of receipts that are sent to a peer at once.
const MAX_BATCH: usize = 512;

/// The number of peers to try before a batch is saved to the store immediately.
const MAX_HOLDERS: usize = 3;

/// The timeout for saving receipts at a planned stop.
const STOP_FLUSH_MS: u64 = 5_000;

/// The pause between attempts to save at a planned stop.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The unsaved batches, each with the total number of receipts up to its end.
#[derive(Default)]
struct Batches {
    next: u64,
    open: VecDeque<(u64, u64)>,
    added: u64,
}

/// The link to the peer that accepted the last batch.
struct HolderLink {
    peer: Incarnation,
    link: Link,
}

/// Makes the receipts of the channel durable until it closes.
pub(crate) async fn run(shared: Arc<Shared>, queue: Receiver<PendingReceipt>) {
    let mut batches = Batches::default();
    let mut held_by = None;
    while let Ok(first) = queue.recv().await {
        let mut waiting = Vec::new();
        let mut receipts = Vec::new();
        let mut next = Some(first);
        while let Some(receipt) = next {
            receipts.push(shared.outbox.lock().add(receipt.draft));
            waiting.extend(receipt.durable_ack);
            next = if receipts.len() < MAX_BATCH {
                queue.try_recv().ok()
            } else {
                None
            };
        }
        let number = batches.open(&shared.outbox, receipts.len());
        let held = hold(&shared, &mut held_by, number, &receipts).await;
        let durable = held || save(&shared).await;
        notify_waiting(waiting, durable);
    }
}

/// Notifies the waiting requests if their receipts are durable, and else closes their channels.
fn notify_waiting(waiting: Vec<Sender<()>>, durable: bool) {
    for sender in waiting {
        if durable {
            let _ = sender.try_send(());
        }
    }
}

impl Batches {
    /// Opens a batch and records which earlier batches are saved.
    fn open(&mut self, outbox: &SharedOutbox, count: usize) -> u64 {
        self.next += 1;
        self.added += count as u64;
        self.open.push_back((self.next, self.added));
        let saved = self.added - outbox.unsaved_count() as u64;
        while let Some((number, sum)) = self.open.front() {
            if *sum > saved {
                break;
            }
            outbox.saved_batch.store(*number, Ordering::Relaxed);
            self.open.pop_front();
        }
        self.next
    }
}

/// Sends a batch to peers, those in other availability zones first, until one accepts it.
async fn hold(
    shared: &Shared,
    held_by: &mut Option<HolderLink>,
    batch: u64,
    receipts: &[Receipt],
) -> bool {
    let message = ReceiptBatch {
        batch,
        saved_batch: shared.outbox.saved_batch.load(Ordering::Relaxed),
        receipts: receipts.iter().map(receipt_to_wire).collect(),
    };
    let envelope = shared.identity.envelope(Body::ReceiptBatch(message));
    let timeout = Duration::from_millis(shared.settings.receipt_hold_timeout_ms);
    for (peer, addr) in holder_candidates(shared) {
        // The link to the last holder stays open while a peer that is tried before it fails.
        let held = match held_by.take_if(|held| held.peer == peer) {
            Some(held) => Some(held),
            None => {
                let link = shared.connect_peer(addr, timeout).await.ok();
                link.map(|link| HolderLink { peer, link })
            }
        };
        let Some(mut held) = held else {
            continue;
        };
        let answer = held.link.call(&envelope, timeout).await;
        if let Ok(Envelope {
            body: Some(Body::AcceptReply(answer)),
            ..
        }) = answer
            && answer.accepted
        {
            *held_by = Some(held);
            return true;
        }
    }
    false
}

fn holder_candidates(shared: &Shared) -> Vec<(Incarnation, SocketAddr)> {
    let view = shared.view.load();
    let members: Vec<&Member> = view.members.iter().collect();
    let Some(me) = view.member(shared.incarnation) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for peer in receipt_holders(me, &members).into_iter().take(MAX_HOLDERS) {
        if let Ok(addr) = peer.peer_addr.parse() {
            found.push((peer.incarnation, addr));
        }
    }
    found
}

/// Saves receipts at the interval `receipt_flush_ms`.
pub(crate) async fn flush(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.receipt_flush_ms);
    loop {
        Timer::after(interval).await;
        save(&shared).await;
    }
}

/// Saves all receipts at a planned stop, until the timeout.
pub(crate) async fn flush_all(shared: &Shared) {
    let end_ms = shared.clock.mono_ms() + STOP_FLUSH_MS;
    while shared.clock.mono_ms() < end_ms {
        if save(shared).await && shared.outbox.unsaved_count() == 0 {
            return;
        }
        Timer::after(STOP_RETRY_PAUSE).await;
    }
    let unsaved = shared.outbox.unsaved_count();
    tracing::warn!(
        unsaved,
        "receipt: not saved before the stop, left to the peers that hold them"
    );
}

/// Saves all unsaved receipts, and returns whether that succeeded.
///
/// A write whose response is lost is retried under the same path.
async fn save(shared: &Shared) -> bool {
    if shared.outbox.saving.swap(true, Ordering::SeqCst) {
        return false;
    }
    let mut saved = true;
    while saved {
        let segment = shared.outbox.lock().next_segment();
        let Some(segment) = segment else {
            break;
        };
        let value = serde_json::to_value(&segment).unwrap_or_default();
        let path = segment.path(shared.settings.settle_shards);
        match shared.platform.put(&path, &value, Precondition::Any).await {
            Ok(_) => shared.outbox.lock().mark_saved(&segment),
            Err(err) => {
                tracing::debug!("receipt: save failed, {err}");
                saved = false;
            }
        }
    }
    shared.outbox.saving.store(false, Ordering::SeqCst);
    saved
}
