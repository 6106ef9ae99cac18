//! The watch on the configuration.

use std::rc::Rc;
use std::time::Duration;

use catalog::CONFIG_PREFIX;
use smol::Timer;
use store::{ObjectApi, StoreError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::gossip;
use crate::control::state::Control;

/// The shortest pause after an error, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;

/// The longest pause after an error, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;

/// How often an instance that holds no watch lists the configuration, in milliseconds.
const RELIST_MS: u64 = 60_000;

/// How often an instance that holds no watch looks whether it should, in milliseconds.
const IDLE_TICK_MS: u64 = 1_000;

/// Returns whether this instance is among those that hold watches and read the platform's list.
pub(super) fn is_watcher(control: &Control) -> bool {
    let table = control.table.borrow();
    let weight =
        |incarnation: kernel::Incarnation| xxh3_64_with_seed(b"watch", incarnation.as_u64());
    let mine = weight(control.shared.incarnation);
    let before = table
        .live()
        .iter()
        .filter(|member| weight(member.incarnation) < mine)
        .count();
    before < control.shared.settings.watchers
}

/// Keeps the configuration up to date.
pub(super) async fn run(control: Rc<Control>) {
    let mut cursor = None;
    let mut pause_ms = MIN_PAUSE_MS;
    let mut listed_ms = 0;
    loop {
        let now_ms = control.now_ms();
        let recent = control.configured.get() && now_ms < listed_ms + RELIST_MS;
        if !is_watcher(&control) && recent {
            cursor = None;
            Timer::after(Duration::from_millis(IDLE_TICK_MS)).await;
            continue;
        }
        let result = match cursor {
            None => list(&control).await,
            Some(revision) => watch(&control, revision).await,
        };
        match result {
            Ok(revision) => {
                listed_ms = now_ms;
                cursor = Some(revision);
                pause_ms = MIN_PAUSE_MS;
            }
            Err(err) => {
                if err == StoreError::Expired {
                    cursor = None;
                }
                tracing::warn!("watch: {err}");
                let jitter_ms = fastrand::u64(..pause_ms);
                Timer::after(Duration::from_millis(pause_ms + jitter_ms)).await;
                pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
            }
        }
    }
}

async fn list(control: &Rc<Control>) -> Result<u64, StoreError> {
    let listing = control.shared.platform.list(CONFIG_PREFIX).await?;
    control.heard();
    let revision = listing.revision;
    let changed =
        control
            .replica
            .borrow_mut()
            .apply_listing(CONFIG_PREFIX, revision, listing.objects);
    control.set_configured();
    if changed {
        control.config_changed();
        control.complete_up_to(revision);
        gossip::push(control).await;
    }
    control.complete_up_to(revision);
    Ok(revision)
}

async fn watch(control: &Rc<Control>, revision: u64) -> Result<u64, StoreError> {
    let wait_ms = control.shared.settings.watch_wait_ms;
    let listing = control
        .shared
        .platform
        .watch(CONFIG_PREFIX, revision, wait_ms)
        .await?;
    control.heard();
    let fresh = control.take_objects(listing.objects);
    control.complete_up_to(listing.revision);
    if fresh {
        gossip::push(control).await;
    }
    Ok(listing.revision.max(revision))
}
