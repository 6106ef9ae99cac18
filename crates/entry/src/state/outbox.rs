//! Receipts of this instance that the store does not have yet.

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Mutex, MutexGuard, PoisonError};

use kernel::Incarnation;
use receipt::ReceiptOutbox;

/// The receipts to be saved, and the progress of saving them.
pub(crate) struct SharedOutbox {
    receipts: Mutex<ReceiptOutbox>,
    /// The last batch whose receipts are all saved. Peers drop what they hold up to it.
    pub(crate) saved_batch: AtomicU64,
    /// Whether a save is in progress. Saves do not overlap.
    pub(crate) saving: AtomicBool,
}

impl SharedOutbox {
    /// Creates an empty outbox for the receipts of `home`.
    pub(crate) fn new(home: Incarnation) -> SharedOutbox {
        SharedOutbox {
            receipts: Mutex::new(ReceiptOutbox::new(home)),
            saved_batch: AtomicU64::new(0),
            saving: AtomicBool::new(false),
        }
    }

    /// Locks the receipts.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ReceiptOutbox> {
        self.receipts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of receipts that are not saved yet.
    pub(crate) fn unsaved_count(&self) -> usize {
        self.lock().unsaved_count()
    }
}
