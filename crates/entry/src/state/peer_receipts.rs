//! Receipts held for peers.

use std::sync::{Mutex, MutexGuard, PoisonError};

use kernel::Incarnation;
use receipt::{HeldReceipts, Receipt};
use wire::{AcceptReply, ReceiptBatch};

use crate::state::convert::receipt_from_wire;

/// The receipts that this instance holds for its peers.
pub(crate) struct PeerReceipts {
    holder: Mutex<HeldReceipts>,
}

impl PeerReceipts {
    /// Makes empty holdings.
    pub(crate) fn new(writer: Incarnation, max_receipts: usize) -> PeerReceipts {
        PeerReceipts {
            holder: Mutex::new(HeldReceipts::new(writer, max_receipts)),
        }
    }

    /// Returns the receipts, for as long as the guard is kept.
    pub(crate) fn lock(&self) -> MutexGuard<'_, HeldReceipts> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many receipts are held.
    pub(crate) fn count(&self) -> usize {
        self.lock().count()
    }

    /// Takes a batch of a peer.
    pub(crate) fn accept(&self, from: Incarnation, hold: &ReceiptBatch) -> AcceptReply {
        let receipts: Vec<Receipt> = hold.receipts.iter().filter_map(receipt_from_wire).collect();
        if receipts.len() != hold.receipts.len() {
            return AcceptReply { accepted: false };
        }
        let accepted = self
            .lock()
            .try_hold(from, hold.batch, hold.saved_batch, receipts);
        AcceptReply { accepted }
    }
}
