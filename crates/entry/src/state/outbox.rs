//! The receipts that are not saved yet.

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Mutex, MutexGuard, PoisonError};

use kernel::Incarnation;
use receipt::ReceiptOutbox;

/// The receipts that are not saved yet.
pub(crate) struct SharedOutbox {
    ledger: Mutex<ReceiptOutbox>,
    /// The last batch whose receipts are all saved.
    pub(crate) saved_batch: AtomicU64,
    /// Whether a save is under way.
    pub(crate) saving: AtomicBool,
}

impl SharedOutbox {
    /// Starts with none.
    pub(crate) fn new(home: Incarnation) -> SharedOutbox {
        SharedOutbox {
            ledger: Mutex::new(ReceiptOutbox::new(home)),
            saved_batch: AtomicU64::new(0),
            saving: AtomicBool::new(false),
        }
    }

    /// Returns the receipts, for as long as the guard is kept.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ReceiptOutbox> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many receipts are not saved.
    pub(crate) fn unsaved_count(&self) -> usize {
        self.lock().unsaved_count()
    }
}
