//! Receipts held on behalf of peers.

use std::sync::{Mutex, MutexGuard, PoisonError};

use kernel::Incarnation;
use receipt::{HeldReceipts, Receipt};
use wire::{AcceptReply, ReceiptBatch};

use crate::state::convert::receipt_from_wire;

/// Receipts of peers, held until those peers have saved them.
pub(crate) struct PeerReceipts {
    receipts: Mutex<HeldReceipts>,
}

impl PeerReceipts {
    /// Creates an empty set of at most `max_receipts` receipts.
    pub(crate) fn new(writer: Incarnation, max_receipts: usize) -> PeerReceipts {
        PeerReceipts {
            receipts: Mutex::new(HeldReceipts::new(writer, max_receipts)),
        }
    }

    /// Locks the receipts.
    pub(crate) fn lock(&self) -> MutexGuard<'_, HeldReceipts> {
        self.receipts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of held receipts.
    pub(crate) fn count(&self) -> usize {
        self.lock().count()
    }

    /// Stores a batch of receipts from a peer. One undecodable receipt rejects the whole batch.
    pub(crate) fn accept(&self, from: Incarnation, batch: &ReceiptBatch) -> AcceptReply {
        let receipts: Vec<Receipt> = batch
            .receipts
            .iter()
            .filter_map(receipt_from_wire)
            .collect();
        if receipts.len() != batch.receipts.len() {
            return AcceptReply { accepted: false };
        }
        let accepted = self
            .lock()
            .try_hold(from, batch.batch, batch.saved_batch, receipts);
        AcceptReply { accepted }
    }
}
