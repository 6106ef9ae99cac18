//! Fetches objects from peers that hold later ones.
//!
//! Each kind of object is fetched by itself, so that a small one does not wait behind a large one.
//! It is fetched from one peer, as several transfers would fill the links, and from others as well
//! only while little arrives: the peer may be busy or on a link that loses packets.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use wire::{Body, Envelope, Fetch, Link, LinkError, Ping};

use crate::convert::{missing_since, object_from_wire};
use crate::offer::Offer;
use crate::state::Control;
use crate::transfer::Transfer;

/// How often the bytes that arrived are counted.
const RATE_WINDOW: Duration = Duration::from_millis(300);

/// Another peer is asked if fewer bytes arrive in a window: a fifth of what the slowest link carries,
/// so that a link that is full carries the value only once.
const SLOW_BYTES_PER_WINDOW: u64 = 75_000;

/// The maximum number of peers from which one kind of object is fetched at the same time.
const MAX_SOURCES: usize = 5;

/// Requests a fetch of each kind of object in which the sender of an update is ahead, unless the
/// store's own watches are expected to deliver them in time.
pub(crate) fn consider(control: &Control, update: &Ping) {
    let Some(sender) = update.members.first() else {
        return;
    };
    let Ok(peer_addr) = sender.peer_addr.parse() else {
        return;
    };
    // An instance of an earlier version sends one digest over all kinds.
    let digests = if update.kinds.is_empty() {
        update.config.as_slice()
    } else {
        &update.kinds
    };
    for digest in digests {
        if !control.should_fetch(digest) {
            continue;
        }
        let offer = Offer {
            peer_addr,
            peer_name: sender.name.as_str().into(),
            digest: digest.clone(),
        };
        // The channel is unbounded and closes only when the thread ends.
        let _ = control.offers.try_send(offer);
    }
}

/// Performs the requested fetches, one of each kind of object at a time.
pub(crate) async fn run(
    control: Rc<Control>,
    offers: Receiver<Offer>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok(offer) = offers.recv().await {
        let kind = offer.digest.kind.clone();
        if let Some(next) = control.next_offers.borrow_mut().get_mut(&kind) {
            // They are taken up after the fetch under way, or beside it if little arrives.
            next.retain(|held| held.peer_addr != offer.peer_addr);
            next.push(offer);
            continue;
        }
        control.next_offers.borrow_mut().insert(kind, Vec::new());
        let control = control.clone();
        executor
            .spawn(async move { fetch_kind(&control, offer).await })
            .detach();
    }
}

/// Fetches the objects of an offer, and of those of the same kind that come meanwhile.
async fn fetch_kind(control: &Control, first: Offer) {
    let kind = first.digest.kind.clone();
    let mut next = Some(first);
    while let Some(offer) = next {
        fetch_from_any(control, offer, Vec::new()).await;
        let mut next_offers = control.next_offers.borrow_mut();
        next = next_offers.get_mut(&kind).and_then(Vec::pop);
        if next.is_none() {
            next_offers.remove(&kind);
        }
    }
}

/// A peer from which a fetch is under way.
struct Source {
    peer_addr: SocketAddr,
    /// Bytes sent and received so far.
    bytes: Arc<AtomicU64>,
}

/// What comes first while a fetch is under way.
enum Event {
    /// The end of the fetch, and whether it succeeded.
    Ended(bool),
    /// An offer of another peer while little arrives.
    Offered(Offer),
}

/// Fetches the objects of an offer, from other peers as well while little arrives, and returns whether
/// they arrived. `sources` holds the fetches that are already under way.
fn fetch_from_any(
    control: &Control,
    offer: Offer,
    mut sources: Vec<Source>,
) -> Pin<Box<dyn Future<Output = bool> + '_>> {
    Box::pin(async move {
        let bytes: Arc<AtomicU64> = Arc::default();
        sources.push(Source {
            peer_addr: offer.peer_addr,
            bytes: bytes.clone(),
        });
        let kind = &offer.digest.kind;
        let mut fetch = pin!(fetch(control, &offer, bytes));
        if sources.len() == MAX_SOURCES {
            return fetch.await;
        }
        let end = async { Event::Ended(fetch.as_mut().await) };
        let offered = async { Event::Offered(other_offer(control, kind, &sources).await) };
        match end.or(offered).await {
            Event::Ended(has_succeeded) => has_succeeded,
            Event::Offered(other) => {
                first_success(fetch, fetch_from_any(control, other, sources)).await
            }
        }
    })
}

/// Waits until little arrives from the sources and another peer offers the same kind of object.
async fn other_offer(control: &Control, kind: &str, sources: &[Source]) -> Offer {
    let received = || {
        let counts = sources.iter().map(|source| &source.bytes);
        counts.map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    };
    let is_other = |offer: &Offer| {
        let mut addrs = sources.iter().map(|source| source.peer_addr);
        addrs.all(|addr| addr != offer.peer_addr)
    };
    let mut before: u64 = received();
    loop {
        Timer::after(RATE_WINDOW).await;
        let is_slow = received() < before + SLOW_BYTES_PER_WINDOW;
        before = received();
        if is_slow
            && let Some(next) = control.next_offers.borrow_mut().get_mut(kind)
            && let Some(position) = next.iter().rposition(is_other)
        {
            return next.remove(position);
        }
    }
}

/// Waits until one of two fetches succeeds, or both have failed, and returns whether one succeeded.
async fn first_success(
    mut first: Pin<&mut impl Future<Output = bool>>,
    mut second: Pin<Box<dyn Future<Output = bool> + '_>>,
) -> bool {
    let first_ended = async { (first.as_mut().await, true) };
    let second_ended = async { (second.as_mut().await, false) };
    match first_ended.or(second_ended).await {
        (true, _) => true,
        (false, true) => second.await,
        (false, false) => first.await,
    }
}

/// Fetches and applies the objects of an offer that this replica lacks, and returns whether it has
/// them now.
async fn fetch(control: &Control, offer: &Offer, bytes: Arc<AtomicU64>) -> bool {
    let mine = control.replica.borrow().digest_of(&offer.digest.kind);
    let Some(since) = missing_since(&offer.digest, mine) else {
        return true;
    };
    let transfer = Transfer::new(control, offer, since, bytes.clone());
    match request(control, offer, since, &bytes).await {
        Ok(count) => {
            transfer.complete(count);
            true
        }
        Err(err) => {
            transfer.fail(&err);
            false
        }
    }
}

/// Returns the number of objects received.
async fn request(
    control: &Control,
    offer: &Offer,
    since: u64,
    bytes: &Arc<AtomicU64>,
) -> Result<usize, LinkError> {
    let timeout = Duration::from_millis(control.settings.gossip_timeout_ms);
    let link = Link::connect(offer.peer_addr, timeout).await?;
    let fetch = Fetch {
        since,
        kind: offer.digest.kind.clone(),
        accepts_compressed: true,
    };
    let request = Envelope::new(control.incarnation.as_u64(), Body::Fetch(fetch));
    let response = link.metered(bytes).transfer(&request, timeout).await?;
    let Some(Body::Objects(objects)) = response.body else {
        return Ok(0);
    };
    let mut decoded = Vec::new();
    for entry in &objects.objects {
        match object_from_wire(entry) {
            Some(object) => decoded.push(object),
            None => tracing::warn!(
                path = entry.path,
                "member: object from a peer is unreadable"
            ),
        }
    }
    let count = decoded.len();
    control.apply_objects(decoded);
    Ok(count)
}
