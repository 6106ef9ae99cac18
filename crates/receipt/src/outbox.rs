//! Numbering of the receipts of an instance, and the receipts not saved yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Incarnation;

use crate::receipt::{Receipt, RequestUsage};
use crate::segment::{MAX_SEGMENT_RECEIPTS, Segment};

/// A receipt without its home and number, which the outbox assigns.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceiptDraft {
    /// The name of the workspace that is billed.
    pub workspace: Arc<str>,
    /// The identifier of the request.
    pub request: Arc<str>,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// The usage that is billed.
    pub usage: RequestUsage,
}

/// Numbers the receipts of one incarnation and keeps them until they are saved.
#[derive(Debug)]
pub struct ReceiptOutbox {
    home: Incarnation,
    numbers: BTreeMap<Arc<str>, u64>,
    unsaved: Vec<Receipt>,
    next_segment: u64,
}

impl ReceiptOutbox {
    /// Creates the empty outbox of an incarnation.
    pub fn new(home: Incarnation) -> ReceiptOutbox {
        ReceiptOutbox {
            home,
            numbers: BTreeMap::new(),
            unsaved: Vec::new(),
            next_segment: 1,
        }
    }

    /// Assigns the next number of the workspace and keeps the receipt until its segment is saved.
    pub fn add(&mut self, draft: ReceiptDraft) -> Receipt {
        let number = self.numbers.entry(draft.workspace.clone()).or_default();
        *number += 1;
        let receipt = Receipt {
            home: self.home,
            workspace: draft.workspace,
            number: *number,
            request: draft.request,
            ended_ms: draft.ended_ms,
            usage: draft.usage,
        };
        self.unsaved.push(receipt.clone());
        receipt
    }

    /// Returns the number of receipts not saved yet.
    pub fn unsaved_count(&self) -> usize {
        self.unsaved.len()
    }

    /// Returns the next segment to save, or `None` if all receipts are saved.
    ///
    /// Each segment has a new number, also if it repeats one whose write failed: that write may
    /// still arrive, and must not overwrite the repetition, which may have more receipts.
    pub fn next_segment(&mut self) -> Option<Segment> {
        if self.unsaved.is_empty() {
            return None;
        }
        let count = self.unsaved.len().min(MAX_SEGMENT_RECEIPTS);
        let number = self.next_segment;
        self.next_segment += 1;
        Some(Segment {
            home: self.home,
            writer: self.home,
            number,
            receipts: self.unsaved[..count].to_vec(),
        })
    }

    /// Drops the receipts of the latest segment, which was saved. Other segments are ignored.
    pub fn mark_saved(&mut self, segment: &Segment) {
        if segment.number + 1 != self.next_segment {
            return;
        }
        self.unsaved
            .drain(..segment.receipts.len().min(self.unsaved.len()));
    }
}
