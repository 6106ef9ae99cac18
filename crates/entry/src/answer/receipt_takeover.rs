//! Saves the receipts of failed peers.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use kernel::Incarnation;
use smol::Timer;
use smol::future::FutureExt;
use smol::stream::StreamExt;
use store::{ObjectApi, Precondition};

use crate::state::shared::Shared;

/// How often the homes of held receipts are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Saves the held receipts of homes that are dead or closed their link; a home is the incarnation
/// that ran the requests.
///
/// A home that fails closes its link long before it counts as dead. If this instance failed in
/// between, the receipts would be lost with it. Saving receipts twice does no harm.
pub(crate) async fn run(shared: Arc<Shared>, closed_links: Receiver<Incarnation>) {
    let mut checks = Timer::interval(CHECK_INTERVAL);
    loop {
        let closed = async { closed_links.recv().await.ok() };
        let checked = async {
            checks.next().await;
            None
        };
        if let Some(home) = closed.or(checked).await {
            save(&shared, home).await;
            continue;
        }
        let homes = shared.peer_receipts.lock().homes();
        for home in homes {
            // The view lists only members that are not dead.
            if shared.view.load().member(home).is_none() {
                save(&shared, home).await;
            }
        }
    }
}

/// Saves the oldest receipts held for a home.
async fn save(shared: &Shared, home: Incarnation) {
    let takeover = shared.peer_receipts.lock().takeover(home);
    let Some(takeover) = takeover else {
        return;
    };
    let segment = &takeover.segment;
    let value = serde_json::to_value(segment).unwrap_or_default();
    let path = segment.path(shared.settings.settle_shards);
    match shared.platform.put(&path, &value, Precondition::Any).await {
        Ok(_) => {
            tracing::info!(%home, receipts = segment.receipts.len(), "receipt: saved for a peer");
            shared.peer_receipts.lock().mark_saved(&takeover);
        }
        Err(err) => tracing::debug!(%home, "receipt: save for a peer failed, {err}"),
    }
}
