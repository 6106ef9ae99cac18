//! Fetches objects from peers that hold later ones.
//!
//! Each kind of object is fetched by itself and from one peer at a time, so that a small one does
//! not wait behind a large one, and a large one does not cross the same link several times.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use wire::{Body, Envelope, Fetch, Link, LinkError, Ping};

use crate::convert::{missing_since, object_from_wire};
use crate::offer::Offer;
use crate::state::Control;

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
        if control.next_offers.borrow().contains_key(&kind) {
            // The latest offer is taken up after the fetch under way.
            control.next_offers.borrow_mut().insert(kind, Some(offer));
            continue;
        }
        control.next_offers.borrow_mut().insert(kind, None);
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
        let mine = control.replica.borrow().digest_of(&kind);
        if let Some(since) = missing_since(&offer.digest, mine) {
            fetch(control, &offer, since).await;
        }
        let mut next_offers = control.next_offers.borrow_mut();
        next = next_offers.get_mut(&kind).and_then(Option::take);
        if next.is_none() {
            next_offers.remove(&kind);
        }
    }
}

/// Fetches and applies the objects that a peer holds after a revision.
async fn fetch(control: &Control, offer: &Offer, since: u64) {
    let began_ms = control.now_ms();
    let bytes: Arc<AtomicU64> = Arc::default();
    let result = request(control, offer, since, &bytes).await;
    let bytes = bytes.load(Ordering::Relaxed);
    let elapsed_ms = control.now_ms() - began_ms;
    let peer = &*offer.peer_name;
    let kind = &*offer.digest.kind;
    let counters = &control.fetch_counters;
    counters.bytes.fetch_add(bytes, Ordering::Relaxed);
    match result {
        Ok(count) => {
            counters.completed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(
                peer,
                kind,
                since,
                count,
                bytes,
                elapsed_ms,
                "config: taken from a peer"
            );
        }
        Err(err) => {
            counters.failed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(
                peer,
                kind,
                since,
                bytes,
                elapsed_ms,
                error = %err,
                "config: fetch failed"
            );
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
