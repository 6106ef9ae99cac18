//! Keeps the configuration in sync with the store.

use std::rc::Rc;
use std::time::Duration;

use catalog::CONFIG_PREFIX;
use smol::Timer;
use store::{ObjectApi, StoreError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::gossip;
use crate::control::state::ControlState;

/// The initial delay before a retry, doubled after each further error.
const MIN_RETRY_DELAY_MS: u64 = 100;

/// The maximum delay before a retry, without jitter.
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// The interval at which an instance without a watch lists the configuration.
const RELIST_INTERVAL_MS: u64 = 60_000;

/// The interval at which an instance without a watch checks whether it should hold one.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// Returns whether this instance is one of the `watchers` instances that hold a watch and read the
/// platform's instance list. All instances order the live members by the same hash.
pub(super) fn is_watcher(control: &ControlState) -> bool {
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

/// Watches the configuration, or lists it every `RELIST_INTERVAL_MS` if this instance is no watcher.
pub(super) async fn run(control: Rc<ControlState>) {
    let mut cursor = None;
    let mut delay_ms = MIN_RETRY_DELAY_MS;
    let mut listed_ms = 0;
    loop {
        let now_ms = control.now_ms();
        let recent = control.configured.get() && now_ms < listed_ms + RELIST_INTERVAL_MS;
        if !is_watcher(&control) && recent {
            cursor = None;
            Timer::after(Duration::from_millis(IDLE_CHECK_INTERVAL_MS)).await;
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
                delay_ms = MIN_RETRY_DELAY_MS;
            }
            Err(err) => {
                if err == StoreError::Expired {
                    cursor = None;
                }
                tracing::warn!("watch: {err}");
                let jitter_ms = fastrand::u64(..delay_ms);
                Timer::after(Duration::from_millis(delay_ms + jitter_ms)).await;
                delay_ms = (delay_ms * 2).min(MAX_RETRY_DELAY_MS);
            }
        }
    }
}

async fn list(control: &Rc<ControlState>) -> Result<u64, StoreError> {
    let listing = control.shared.platform.list(CONFIG_PREFIX).await?;
    control.record_contact();
    let revision = listing.revision;
    let position = listing.position();
    let changed =
        control
            .replica
            .borrow_mut()
            .apply_listing(CONFIG_PREFIX, position, listing.objects);
    control.set_configured();
    if changed {
        control.publish_config();
        control.set_complete_revision(revision);
        gossip::push_config(control).await;
    }
    control.set_complete_revision(revision);
    Ok(revision)
}

async fn watch(control: &Rc<ControlState>, revision: u64) -> Result<u64, StoreError> {
    let wait_ms = control.shared.settings.watch_wait_ms;
    let listing = control
        .shared
        .platform
        .watch(CONFIG_PREFIX, revision, wait_ms)
        .await?;
    control.record_contact();
    let fresh = control.apply_objects(listing.objects);
    control.set_complete_revision(listing.revision);
    if fresh {
        gossip::push_config(control).await;
    }
    Ok(listing.revision.max(revision))
}
