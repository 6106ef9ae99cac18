//! The home's numbering of receipts and what is not saved yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Incarnation;

use crate::receipt::{Receipt, RequestUsage};
use crate::segment::{MAX_SEGMENT_RECEIPTS, Segment};

/// A receipt before it has its number.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceiptDraft {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The request's identifier.
    pub request: Arc<str>,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// What is billed.
    pub usage: RequestUsage,
}

/// Numbers receipts and keeps those that are not saved.
#[derive(Debug)]
pub struct ReceiptOutbox {
    home: Incarnation,
    numbers: BTreeMap<Arc<str>, u64>,
    unsaved: Vec<Receipt>,
    next_segment: u64,
}

impl ReceiptOutbox {
    /// Makes the ledger of one incarnation.
    pub fn new(home: Incarnation) -> ReceiptOutbox {
        ReceiptOutbox {
            home,
            numbers: BTreeMap::new(),
            unsaved: Vec::new(),
            next_segment: 1,
        }
    }

    /// Numbers a receipt and keeps it until its segment is saved.
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

    /// Returns how many receipts are not saved.
    pub fn unsaved_count(&self) -> usize {
        self.unsaved.len()
    }

    /// Returns the next segment to save, or `None` when all is saved.
    ///
    /// The same segment number may be offered again with more receipts, since a segment that
    /// was not confirmed is written again over itself.
    pub fn next_segment(&self) -> Option<Segment> {
        if self.unsaved.is_empty() {
            return None;
        }
        let count = self.unsaved.len().min(MAX_SEGMENT_RECEIPTS);
        Some(Segment {
            home: self.home,
            writer: self.home,
            number: self.next_segment,
            receipts: self.unsaved[..count].to_vec(),
        })
    }

    /// Notes that a segment is saved.
    pub fn mark_saved(&mut self, segment: &Segment) {
        if segment.number != self.next_segment {
            return;
        }
        self.unsaved
            .drain(..segment.receipts.len().min(self.unsaved.len()));
        self.next_segment += 1;
    }
}
