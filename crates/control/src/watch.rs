//! Lists and watches each feed of the store.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use catalog::Position;
use futures_lite::FutureExt;
use store::{Listing, StoreError};

use crate::codec::Feed;
use crate::evacuation_feed::remove_values;
use crate::state::Control;

/// The shortest pause after an error, in milliseconds.
const MIN_BACKOFF_MS: u64 = 60;

/// The longest pause after an error, in milliseconds. Each call is paid for, also a refused one.
const MAX_BACKOFF_MS: u64 = 700;

/// How long an instance waits for its first peer before it calls the store, in milliseconds:
/// several round trips. Callers wait meanwhile if all instances were lost.
const FIRST_PEER_TIMEOUT_MS: u64 = 120;

/// How long instances that start with the whole fleet wait for the member table, in milliseconds.
/// No callers wait then.
const FIRST_START_TIMEOUT_MS: u64 = 3_000;

/// How long after that an instance that is not a watcher waits for the configuration from a peer, in
/// milliseconds.
const FIRST_CONFIG_TIMEOUT_MS: u64 = 1_500;

/// How often the member table is checked at the start.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long the member table must be unchanged to count as complete, in milliseconds: more than the
/// interval between probes.
const SETTLED_MS: u64 = 500;

/// The delay of the first watch and of the own entry when peers are configured. After it an
/// instance of a large fleet has the member table that says whether it is a watcher.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(600);

/// How long the first watch after a failure waits for a change, in milliseconds.
const RECOVERY_WAIT_MS: u64 = 1;

/// The pause between two watches after a change. Endpoints often change together and each call is
/// paid for, so that one call should return several changes. It is a small part of the time within which
/// a change must be in force.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// How often a watch that may be lost checks whether the store answers again.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How often an instance that is not a watcher checks whether it has become one, in milliseconds: a
/// small part of the time within which a change must be in force.
const WATCHER_CHECK_INTERVAL_MS: u64 = 200;

/// Lists a feed, then watches it for as long as this instance is a watcher.
pub(crate) async fn run(control: Rc<Control>, feed: Feed) {
    wait_for_first_peer(&control).await;
    let mut cursor: Option<Position> = None;
    // What was known last, also while the feed must be listed again.
    let mut known: Option<Position> = None;
    let mut pause_ms = MIN_BACKOFF_MS;
    let mut is_recovering = false;
    let mut is_first = true;
    loop {
        if control.is_configured() && !control.is_watcher() {
            control.clear_feed_status(feed);
            cursor = None;
            Timer::after(Duration::from_millis(WATCHER_CHECK_INTERVAL_MS)).await;
            continue;
        }
        let began_ms = control.now_ms();
        let result = match cursor {
            None => list(&control, feed, known).await,
            Some(cursor) => watch(&control, feed, cursor, is_recovering).await,
        };
        match result {
            Ok(reached) => {
                control.record_store_call(feed, true);
                if std::mem::take(&mut is_first) {
                    wait_for_membership(&control).await;
                }
                cursor = Some(reached);
                known = cursor;
                pause_ms = MIN_BACKOFF_MS;
                is_recovering = false;
            }
            Err(StoreError::Expired) => {
                tracing::info!(?feed, "store: history expired, listing again");
                control.record_store_call(feed, true);
                cursor = None;
            }
            Err(err) => {
                control.record_failed_call(feed, began_ms);
                is_recovering = true;
                let waited_ms = control.now_ms() - began_ms;
                tracing::info!(?feed, error = %err, waited_ms, pause_ms, "store: call failed");
                let jitter_ms = fastrand::u64(..pause_ms);
                Timer::after(Duration::from_millis(pause_ms + jitter_ms)).await;
                pause_ms = (pause_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Waits until a peer has responded, or all have failed, so that an instance that joins a large
/// fleet need not call the store.
async fn wait_for_first_peer(control: &Control) {
    if control.settings.peers.is_empty() {
        return;
    }
    if control.settings.first_start {
        return wait_for_first_config(control).await;
    }
    let until_ms = control.now_ms() + FIRST_PEER_TIMEOUT_MS;
    while control.now_ms() < until_ms {
        if control.members.borrow().live().len() > 1 || control.peers_tried.get() {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits for the member table of a fleet that starts as a whole, and then for the configuration
/// from one of the watchers unless this instance is one.
async fn wait_for_first_config(control: &Control) {
    let configured = async {
        while !control.is_configured() {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let settled = wait_until_settled(control);
    settled.or(configured).await;
    let until_ms = control.now_ms() + FIRST_CONFIG_TIMEOUT_MS;
    while control.now_ms() < until_ms && !control.is_watcher() && !control.is_configured() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits for the member table to fill if peers are configured.
pub(crate) async fn wait_for_membership(control: &Control) {
    if !control.settings.peers.is_empty() {
        Timer::after(MEMBERSHIP_DELAY).await;
    }
}

/// Waits until the member table has not changed for a while.
async fn wait_until_settled(control: &Control) {
    let until_ms = control.now_ms() + FIRST_START_TIMEOUT_MS;
    let mut digest = control.members.borrow().digest();
    let mut changed_ms = control.now_ms();
    while control.now_ms() < until_ms.min(changed_ms + SETTLED_MS) {
        Timer::after(POLL_INTERVAL).await;
        let current = control.members.borrow().digest();
        if current != digest {
            digest = current;
            changed_ms = control.now_ms();
        }
    }
}

async fn list(
    control: &Control,
    feed: Feed,
    known: Option<Position>,
) -> Result<Position, StoreError> {
    let prefix = control.codec.prefix(feed);
    let began_ms = control.now_ms();
    let mut listing = control.store.list(prefix).await?;
    remove_values(feed, &mut listing.objects);
    control.record_response(feed, began_ms);
    let reached = listing.position();
    let went_back = |known: Position| known.era == reached.era && known > reached;
    if known.is_some_and(went_back) {
        control.replace_listing(feed, listing);
    } else {
        control.apply_listing(feed, listing);
    }
    Ok(reached)
}

/// Watches a feed, and records a response before its objects are applied.
async fn call_watch(
    control: &Control,
    feed: Feed,
    revision: u64,
    wait_ms: u64,
) -> Result<Listing, StoreError> {
    let began_ms = control.now_ms();
    let prefix = control.codec.prefix(feed);
    let mut listing = control.store.watch(prefix, revision, wait_ms).await?;
    remove_values(feed, &mut listing.objects);
    control.record_response(feed, began_ms);
    Ok(listing)
}

/// Watches once more from the same revision when the first watch may have been lost, without waiting
/// for a change. The first one goes on meanwhile, as its response may be large and on its way.
async fn watch_again(control: &Control, feed: Feed, revision: u64) -> Result<Listing, StoreError> {
    loop {
        control.interrupts.wait(feed).await;
        while control.liveness.is_silent() {
            Timer::after(RETURN_CHECK_INTERVAL).await;
        }
        match call_watch(control, feed, revision, RECOVERY_WAIT_MS).await {
            Err(err) if err != StoreError::Expired => {
                tracing::info!(?feed, error = %err, "store: second watch failed");
            }
            result => return result,
        }
    }
}

async fn watch(
    control: &Control,
    feed: Feed,
    cursor: Position,
    is_recovering: bool,
) -> Result<Position, StoreError> {
    let Position { revision, era } = cursor;
    // After a failure any response shows that the store is back, so it must not wait for a change.
    let wait_ms = if is_recovering {
        RECOVERY_WAIT_MS
    } else {
        control.settings.watch_wait_ms
    };
    control.interrupts.clear(feed);
    let watch = call_watch(control, feed, revision, wait_ms);
    let listing = watch.or(watch_again(control, feed, revision)).await?;
    let reached = listing.position();
    if reached.era != era || reached < cursor {
        return Err(StoreError::Expired);
    }
    let count = listing.objects.len();
    if control.apply_objects(era, listing.objects) {
        Timer::after(BATCH_DELAY).await;
    } else if count > 0 {
        let store_revision = reached.revision;
        tracing::info!(
            ?feed,
            revision,
            store_revision,
            count,
            "store: only known or older objects"
        );
    }
    Ok(reached)
}
