//! Saving the receipts of peers that are gone.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use store::{ObjectApi, Precondition};

use crate::state::shared::Shared;

/// How often homes are looked at.
const TICK: Duration = Duration::from_millis(500);

/// Saves the receipts of homes that are gone. Saving them twice does no harm.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(TICK).await;
        let homes = shared.peer_receipts.lock().homes();
        for home in homes {
            // The view holds the members that are not dead.
            if shared.view.load().member(home).is_some() {
                continue;
            }
            let segment = shared.peer_receipts.lock().takeover_segment(home);
            let Some(segment) = segment else {
                continue;
            };
            let value = serde_json::to_value(&segment).unwrap_or_default();
            let path = segment.path(shared.settings.settle_shards);
            match shared.platform.put(&path, &value, Precondition::Any).await {
                Ok(_) => {
                    tracing::info!(%home, receipts = segment.receipts.len(), "receipt: saved for a peer that is gone");
                    shared.peer_receipts.lock().mark_saved(&segment);
                }
                Err(err) => tracing::debug!("receipt: not saved for a peer, {err}"),
            }
        }
    }
}
