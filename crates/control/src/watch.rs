//! Watches on the store.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use store::StoreError;

use crate::codec::Feed;
use crate::state::Control;

/// The shortest pause after an error, in milliseconds.
const MIN_PAUSE_MS: u64 = 60;

/// The longest pause after an error, in milliseconds; each call is paid for, also a refused one.
const MAX_PAUSE_MS: u64 = 700;

/// How long an instance waits for its first peer before it asks the store, in milliseconds: some times
/// the way there and back.
const JOIN_WAIT_MS: u64 = 250;

/// How often it looks.
const JOIN_TICK: Duration = Duration::from_millis(10);

/// How long the first watch and the own entry are put off where there may be others: by then an
/// instance of a large fleet knows whether it is one of those that watch.
const JOIN_PAUSE: Duration = Duration::from_millis(600);

/// How long the first watch after a failure waits, in milliseconds.
const RECOVERY_WAIT_MS: u64 = 1;

/// How long changes are gathered between two watches in a large fleet, where many endpoints change
/// and each call is paid for; a small part of the time in which a change must be in force.
const GATHER: Duration = Duration::from_millis(150);

/// How often an instance that holds no watch looks whether it should, in milliseconds.
const IDLE_TICK_MS: u64 = 1_000;

/// Keeps a feed up to date.
pub(crate) async fn run(control: Rc<Control>, feed: Feed) {
    wait_for_peers(&control).await;
    let mut cursor = None;
    let mut pause_ms = MIN_PAUSE_MS;
    let mut recovers = false;
    let mut is_first = true;
    loop {
        if control.is_configured() && !control.is_watcher() {
            control.forget_contact(feed);
            cursor = None;
            Timer::after(Duration::from_millis(IDLE_TICK_MS)).await;
            continue;
        }
        let result = match cursor {
            None => list(&control, feed).await,
            Some(revision) => watch(&control, feed, revision, recovers).await,
        };
        match result {
            Ok(revision) => {
                control.note_contact(feed, true);
                if std::mem::take(&mut is_first) {
                    let_peers_join(&control).await;
                }
                cursor = Some(revision);
                pause_ms = MIN_PAUSE_MS;
                recovers = false;
            }
            Err(StoreError::Expired) => {
                tracing::info!(?feed, "store: history gone, listing anew");
                control.note_contact(feed, true);
                cursor = None;
            }
            Err(err) => {
                control.note_contact(feed, false);
                recovers = true;
                tracing::info!(?feed, error = %err, pause_ms, "store: call failed");
                let jitter_ms = fastrand::u64(..pause_ms);
                Timer::after(Duration::from_millis(pause_ms + jitter_ms)).await;
                pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
            }
        }
    }
}

/// Waits until a peer answered, so that an instance that joins a large fleet need not ask the store.
async fn wait_for_peers(control: &Control) {
    if control.settings.peers.is_empty() {
        return;
    }
    let until_ms = control.now_ms() + JOIN_WAIT_MS;
    while control.members.borrow().live().len() == 1 && control.now_ms() < until_ms {
        Timer::after(JOIN_TICK).await;
    }
}

/// Lets some time pass in which an instance hears how large the fleet is.
pub(crate) async fn let_peers_join(control: &Control) {
    if !control.settings.peers.is_empty() {
        Timer::after(JOIN_PAUSE).await;
    }
}

async fn list(control: &Control, feed: Feed) -> Result<u64, StoreError> {
    let prefix = control.codec.prefix(feed);
    let listing = control.store.list(prefix).await?;
    control.take_listing(feed, listing.revision, listing.objects);
    Ok(listing.revision)
}

async fn watch(
    control: &Control,
    feed: Feed,
    revision: u64,
    recovers: bool,
) -> Result<u64, StoreError> {
    let prefix = control.codec.prefix(feed);
    // After a failure the answer itself is the news that is waited for.
    let wait_ms = if recovers {
        RECOVERY_WAIT_MS
    } else {
        control.settings.watch_wait_ms
    };
    let listing = control.store.watch(prefix, revision, wait_ms).await?;
    if control.take(listing.objects) && control.has_listeners() {
        Timer::after(GATHER).await;
    }
    Ok(listing.revision.max(revision))
}
