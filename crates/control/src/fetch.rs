//! Fetches objects from peers that hold later ones.
//!
//! Each kind of object is fetched by itself, so that a small one does not wait behind a large one.
//! It is fetched from one peer, as several transfers would fill the links, and from others as well
//! only while little arrives: the peer may be busy or on a link that loses packets.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, unbounded};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::{FutureExt, future};
use wire::{Body, Fetch, LinkError, Objects, Ping};

use crate::convert::object_from_wire;
use crate::offer::Offer;
use crate::state::Control;
use crate::transfer::Transfer;

/// How often the bytes that arrived are counted.
const RATE_WINDOW: Duration = Duration::from_millis(300);

/// Another peer is asked if fewer bytes arrive in a window: a fifth of what a link of 10 Mbit/s carries,
/// so that a link that is full carries the value only once.
const SLOW_BYTES_PER_WINDOW: u64 = 75_000;

/// The maximum number of peers from which one kind of object is fetched at the same time.
const MAX_SOURCES: usize = 5;

/// The size from which a response counts as begun, in bytes: more than that of a request.
const MIN_RESPONSE_BYTES: u64 = 1_000;

/// How often a fetch from one peer may fail before its offer is dropped.
const MAX_FAILURES: u32 = 3;

/// How many times as long as for a probe a peer may take to begin its response: others may have their
/// turn before.
const TURN_TIMEOUT_FACTOR: u32 = 3;

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
        control.record_peer_digest(digest);
        if !control.should_fetch(digest) {
            continue;
        }
        let offer = Offer {
            peer_addr,
            peer_name: sender.name.as_str().into(),
            digest: digest.clone(),
            failure_count: 0,
        };
        // The channel is unbounded and closes only when the thread ends.
        let _ = control.offers.try_send(offer);
    }
}

/// Performs the requested fetches, those of each kind of object in a task of its own.
pub(crate) async fn run(
    control: Rc<Control>,
    offers: Receiver<Offer>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut kinds: HashMap<String, Sender<Offer>> = HashMap::new();
    while let Ok(offer) = offers.recv().await {
        let kind = kinds.entry(offer.digest.kind.clone()).or_insert_with(|| {
            let (sender, receiver) = unbounded();
            let fetches = KindFetches::new(control.clone(), executor.clone());
            executor.spawn(fetches.run(receiver)).detach();
            sender
        });
        // The channel is unbounded and closes only when the thread ends.
        let _ = kind.try_send(offer);
    }
}

/// A fetch from one peer that is under way. It is given up when this is dropped.
struct Source {
    offer: Offer,
    /// Bytes sent and received so far.
    bytes: Arc<AtomicU64>,
    /// Those of them that were there at the end of the last window.
    counted_bytes: u64,
    _task: Task<()>,
}

impl Source {
    /// Whether nothing but the request has been sent so far.
    fn awaits_response(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) < MIN_RESPONSE_BYTES
    }
}

/// The end of a fetch from one peer.
struct Ending {
    offer: Offer,
    has_succeeded: bool,
}

/// What the fetches of one kind of object wait for.
enum Event {
    Offered(Offer),
    Ended(Ending),
    WindowEnded,
}

/// The fetches of one kind of object.
struct KindFetches {
    control: Rc<Control>,
    executor: Rc<LocalExecutor<'static>>,
    /// Offers that are not taken up, at most one of each peer, the latest last.
    offers: Vec<Offer>,
    sources: Vec<Source>,
    window_end: Instant,
    ended: Sender<Ending>,
    endings: Receiver<Ending>,
}

impl KindFetches {
    fn new(control: Rc<Control>, executor: Rc<LocalExecutor<'static>>) -> KindFetches {
        let (ended, endings) = unbounded();
        KindFetches {
            control,
            executor,
            offers: Vec::new(),
            sources: Vec::new(),
            window_end: Instant::now(),
            ended,
            endings,
        }
    }

    async fn run(mut self, offers: Receiver<Offer>) {
        loop {
            match self.next_event(&offers).await {
                Some(Event::Offered(offer)) => self.keep(offer),
                Some(Event::Ended(ending)) => self.end(ending),
                Some(Event::WindowEnded) => self.end_window(),
                None => return,
            }
            if self.sources.is_empty() {
                self.window_end = Instant::now() + RATE_WINDOW;
                self.begin();
            }
        }
    }

    /// Returns `None` when the thread ends.
    async fn next_event(&self, offers: &Receiver<Offer>) -> Option<Event> {
        let offered = async { offers.recv().await.ok().map(Event::Offered) };
        let ended = async { self.endings.recv().await.ok().map(Event::Ended) };
        let window_ended = async {
            if self.sources.is_empty() {
                future::pending::<()>().await;
            }
            Timer::at(self.window_end).await;
            Some(Event::WindowEnded)
        };
        ended.or(offered).or(window_ended).await
    }

    /// Keeps an offer in place of the earlier one of its peer.
    fn keep(&mut self, offer: Offer) {
        for source in &mut self.sources {
            // Its response holds what the peer holds once it begins.
            if source.offer.peer_addr == offer.peer_addr && source.awaits_response() {
                source.offer = offer;
                return;
            }
        }
        self.offers.retain(|held| held.peer_addr != offer.peer_addr);
        self.offers.push(offer);
    }

    fn end(&mut self, ending: Ending) {
        let Ending {
            mut offer,
            has_succeeded,
        } = ending;
        self.sources
            .retain(|source| source.offer.peer_addr != offer.peer_addr);
        if has_succeeded {
            let control = &self.control;
            self.sources.retain(|source| lacks(control, &source.offer));
            return;
        }
        offer.failure_count += 1;
        let has_later = self
            .offers
            .iter()
            .any(|held| held.peer_addr == offer.peer_addr);
        if offer.failure_count < MAX_FAILURES && !has_later {
            self.offers.insert(0, offer);
        }
    }

    /// Asks another peer if little arrived in the window.
    fn end_window(&mut self) {
        self.window_end = Instant::now() + RATE_WINDOW;
        let mut arrived_bytes = 0;
        for source in &mut self.sources {
            let bytes = source.bytes.load(Ordering::Relaxed);
            arrived_bytes += bytes - source.counted_bytes;
            source.counted_bytes = bytes;
        }
        if arrived_bytes < SLOW_BYTES_PER_WINDOW && self.sources.len() < MAX_SOURCES {
            self.begin();
        }
    }

    /// Begins a fetch from another peer that offers what this replica lacks.
    fn begin(&mut self) {
        let Some(offer) = self.take_offer() else {
            return;
        };
        let bytes: Arc<AtomicU64> = Arc::default();
        let fetch = {
            let (control, offer) = (self.control.clone(), offer.clone());
            let (bytes, ended) = (bytes.clone(), self.ended.clone());
            async move {
                let has_succeeded = fetch(&control, &offer, bytes).await;
                let ending = Ending {
                    offer,
                    has_succeeded,
                };
                // The channel is unbounded and closes only when the thread ends.
                let _ = ended.try_send(ending);
            }
        };
        self.sources.push(Source {
            offer,
            bytes,
            counted_bytes: 0,
            _task: self.executor.spawn(fetch),
        });
    }

    /// Returns the latest offer of the latest objects by a peer that is not a source yet.
    fn take_offer(&mut self) -> Option<Offer> {
        let control = &self.control;
        self.offers.retain(|offer| lacks(control, offer));
        let mut best: Option<usize> = None;
        for (position, offer) in self.offers.iter().enumerate() {
            let mut sources = self.sources.iter();
            if sources.any(|source| source.offer.peer_addr == offer.peer_addr) {
                continue;
            }
            let held_at = |offer: &Offer| (offer.digest.era, offer.digest.max_revision);
            if best.is_none_or(|best| held_at(&self.offers[best]) <= held_at(offer)) {
                best = Some(position);
            }
        }
        Some(self.offers.remove(best?))
    }
}

fn lacks(control: &Control, offer: &Offer) -> bool {
    control.missing_since(&offer.digest).is_some()
}

/// Fetches and applies the objects of an offer that this replica lacks, and returns whether it has
/// them now.
async fn fetch(control: &Control, offer: &Offer, bytes: Arc<AtomicU64>) -> bool {
    let Some(since) = control.missing_since(&offer.digest) else {
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

/// Returns the era of fetched objects. A peer of an earlier build tells it in its digest, or not at all.
fn fetched_era(control: &Control, offer: &Offer, objects: &Objects) -> u64 {
    let told = [objects.era, offer.digest.era];
    let era_plus_one = told.into_iter().find(|era| *era > 0);
    era_plus_one.map_or_else(|| control.era_of(&offer.digest.kind), |era| era - 1)
}

/// Returns the number of objects received.
async fn request(
    control: &Control,
    offer: &Offer,
    since: u64,
    bytes: &Arc<AtomicU64>,
) -> Result<usize, LinkError> {
    let timeout = Duration::from_millis(control.settings.gossip_timeout_ms);
    let link = control.identity.connect(offer.peer_addr, timeout).await?;
    let kind = &offer.digest.kind;
    let fetch = Fetch {
        since,
        kind: kind.clone(),
        accepts_compressed: true,
        era: control.era_of(kind) + 1,
    };
    let request = control.identity.envelope(Body::Fetch(fetch));
    let response = link
        .metered(bytes)
        .transfer(&request, timeout * TURN_TIMEOUT_FACTOR)
        .await?;
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
    control.apply_fetched(
        &offer.digest,
        fetched_era(control, offer, &objects),
        decoded,
    );
    Ok(count)
}
