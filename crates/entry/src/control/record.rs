//! Receipts: first to a peer that holds them, then to the object API.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use kernel::Incarnation;
use member::holders;
use receipt::Receipt;
use smol::Timer;
use store::{Expect, ObjectApi};
use wire::{Body, Envelope, Hold, Link};

use crate::control::convert::receipt_to_wire;
use crate::control::state::Control;
use crate::shared::Bill;

/// The most receipts that go to a peer at once.
const MAX_BATCH: usize = 512;

/// How many peers are asked to hold a batch before it goes to the store at once.
const MAX_HOLDERS: usize = 3;

/// How long receipts may take to be saved at a planned stop, in milliseconds.
const STOP_FLUSH_MS: u64 = 5_000;

/// The pause between tries at a planned stop.
const STOP_PAUSE: Duration = Duration::from_millis(100);

/// The batches that peers may hold, with the sum of receipts up to each.
#[derive(Default)]
struct Batches {
    next: u64,
    open: VecDeque<(u64, u64)>,
    added: u64,
}

/// The link to the peer that holds receipts.
struct HolderLink {
    peer: Incarnation,
    link: Link,
}

/// Takes receipts from the traffic threads until the channel closes.
pub(super) async fn run(control: Rc<Control>, bills: Receiver<Bill>) {
    let mut batches = Batches::default();
    let mut held_by = None;
    while let Ok(first) = bills.recv().await {
        let mut waiting = Vec::new();
        let mut receipts = Vec::new();
        let mut next = Some(first);
        while let Some(bill) = next {
            receipts.push(control.ledger.borrow_mut().add(bill.draft));
            waiting.extend(bill.durable);
            next = if receipts.len() < MAX_BATCH {
                bills.try_recv().ok()
            } else {
                None
            };
        }
        let number = batches.open(&control, receipts.len());
        let held = hold(&control, &mut held_by, number, &receipts).await;
        let durable = held || save(&control).await;
        confirm(waiting, durable);
    }
}

/// Tells the waiting requests whether their receipts are durable.
fn confirm(waiting: Vec<Sender<()>>, durable: bool) {
    for sender in waiting {
        if durable {
            let _ = sender.try_send(());
        }
    }
}

impl Batches {
    /// Opens a batch and notes which earlier ones are saved.
    fn open(&mut self, control: &Control, count: usize) -> u64 {
        self.next += 1;
        self.added += count as u64;
        self.open.push_back((self.next, self.added));
        let saved = self.added - control.ledger.borrow().unsaved() as u64;
        while let Some((number, sum)) = self.open.front() {
            if *sum > saved {
                break;
            }
            control.saved_batch.set(*number);
            self.open.pop_front();
        }
        self.next
    }
}

/// Asks peers, those of other availability zones first, to hold a batch.
async fn hold(
    control: &Control,
    held_by: &mut Option<HolderLink>,
    batch: u64,
    receipts: &[Receipt],
) -> bool {
    let message = Hold {
        batch,
        saved_batch: control.saved_batch.get(),
        receipts: receipts.iter().map(receipt_to_wire).collect(),
    };
    let envelope = Envelope::new(control.shared.me.as_u64(), Body::Hold(message));
    let timeout = Duration::from_millis(control.shared.settings.receipt_hold_timeout_ms);
    for (peer, addr) in candidates(control) {
        let held = match held_by.take() {
            Some(held) if held.peer == peer => Some(held),
            _ => match Link::connect(addr, timeout).await {
                Ok(link) => Some(HolderLink { peer, link }),
                Err(_) => None,
            },
        };
        let Some(mut held) = held else {
            continue;
        };
        let answer = held.link.call(&envelope, timeout).await;
        if let Ok(Envelope {
            body: Some(Body::Held(answer)),
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

fn candidates(control: &Control) -> Vec<(Incarnation, std::net::SocketAddr)> {
    let table = control.table.borrow();
    let live = table.live();
    let mut found = Vec::new();
    for peer in holders(table.me(), &live).into_iter().take(MAX_HOLDERS) {
        if let Ok(addr) = peer.peer_addr.parse() {
            found.push((peer.incarnation, addr));
        }
    }
    found
}

/// Saves receipts at the set interval.
pub(super) async fn flush(control: Rc<Control>) {
    let interval = Duration::from_millis(control.shared.settings.receipt_flush_ms);
    loop {
        Timer::after(interval).await;
        save(&control).await;
    }
}

/// Saves all receipts before a planned stop ends, as far as the store lets it.
pub(super) async fn flush_all(control: &Control) {
    let end_ms = control.now_ms() + STOP_FLUSH_MS;
    while control.now_ms() < end_ms {
        if save(control).await && control.ledger.borrow().unsaved() == 0 {
            return;
        }
        Timer::after(STOP_PAUSE).await;
    }
    let unsaved = control.ledger.borrow().unsaved();
    tracing::warn!(unsaved, "receipt: left to the peer that holds them");
}

/// Saves what is not saved yet, and returns whether all of that is.
///
/// A write whose answer is lost is repeated under the same path.
async fn save(control: &Control) -> bool {
    if control.flushing.replace(true) {
        return false;
    }
    let mut saved = true;
    while saved {
        let Some(segment) = control.ledger.borrow().next_segment() else {
            break;
        };
        let value = serde_json::to_value(&segment).unwrap_or_default();
        let path = segment.path(control.shared.settings.settle_shards);
        match control
            .shared
            .platform
            .put(&path, &value, Expect::Any)
            .await
        {
            Ok(_) => control.ledger.borrow_mut().saved(&segment),
            Err(err) => {
                tracing::debug!("receipt: not saved, {err}");
                saved = false;
            }
        }
    }
    control.flushing.set(false);
    saved
}
