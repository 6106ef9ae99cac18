//! Watches on the store.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use store::StoreError;

use crate::dialect::Feed;
use crate::state::Control;

/// The shortest pause after an error, in milliseconds.
const MIN_PAUSE_MS: u64 = 60;

/// The longest pause after an error, in milliseconds; each call is paid for, also a refused one.
const MAX_PAUSE_MS: u64 = 700;

/// How long the first watch after a failure waits, in milliseconds.
const RECOVERY_WAIT_MS: u64 = 1;

/// How often an instance that holds no watch looks whether it should, in milliseconds.
const IDLE_TICK_MS: u64 = 1_000;

/// Keeps a feed up to date.
pub(crate) async fn run(control: Rc<Control>, feed: Feed) {
    let mut cursor = None;
    let mut pause_ms = MIN_PAUSE_MS;
    let mut known = false;
    let mut recovers = false;
    loop {
        if known && !control.is_watcher() {
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
                cursor = Some(revision);
                known = true;
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

async fn list(control: &Control, feed: Feed) -> Result<u64, StoreError> {
    let prefix = control.dialect.prefix(feed);
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
    let prefix = control.dialect.prefix(feed);
    // After a failure the answer itself is the news that is waited for.
    let wait_ms = if recovers {
        RECOVERY_WAIT_MS
    } else {
        control.settings.watch_wait_ms
    };
    let listing = control.store.watch(prefix, revision, wait_ms).await?;
    control.take(listing.objects);
    Ok(listing.revision.max(revision))
}
