//! Receipts held for peers, and their saving when a peer is gone.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kernel::Incarnation;
use receipt::{Holder, Receipt};
use smol::Timer;
use store::{Expect, ObjectApi};
use wire::{Held, Hold};

use crate::convert::receipt_from_wire;
use crate::shared::Shared;

/// How often homes are looked at.
const TICK: Duration = Duration::from_millis(500);

/// The receipts that this instance holds for its peers.
pub(crate) struct Holdings {
    holder: Mutex<Holder>,
}

impl Holdings {
    /// Makes empty holdings.
    pub(crate) fn new(writer: Incarnation, max_receipts: usize) -> Holdings {
        Holdings {
            holder: Mutex::new(Holder::new(writer, max_receipts)),
        }
    }

    fn holder(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many receipts are held.
    pub(crate) fn held(&self) -> usize {
        self.holder().held()
    }

    /// Takes a batch of a peer.
    pub(crate) fn hold(&self, from: Incarnation, hold: &Hold) -> Held {
        let receipts: Vec<Receipt> = hold.receipts.iter().filter_map(receipt_from_wire).collect();
        if receipts.len() != hold.receipts.len() {
            return Held { accepted: false };
        }
        let accepted = self
            .holder()
            .hold(from, hold.batch, hold.saved_batch, receipts);
        Held { accepted }
    }
}

/// Saves the receipts of homes that are gone. Saving them twice does no harm.
pub(crate) async fn adopt(shared: Arc<Shared>) {
    loop {
        Timer::after(TICK).await;
        let homes = shared.holdings.holder().homes();
        for home in homes {
            // The view holds the members that are not dead.
            if shared.view.load().member(home).is_some() {
                continue;
            }
            let segment = shared.holdings.holder().adopt(home);
            let Some(segment) = segment else {
                continue;
            };
            let value = serde_json::to_value(&segment).unwrap_or_default();
            let path = segment.path(shared.settings.settle_shards);
            match shared.platform.put(&path, &value, Expect::Any).await {
                Ok(_) => {
                    tracing::info!(%home, receipts = segment.receipts.len(), "receipt: saved for a peer that is gone");
                    shared.holdings.holder().adopted(&segment);
                }
                Err(err) => tracing::debug!("receipt: not saved for a peer, {err}"),
            }
        }
    }
}
