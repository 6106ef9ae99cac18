//! Receipts that an instance holds for its peers until they are saved.

use std::collections::{BTreeMap, VecDeque};

use kernel::Incarnation;

use crate::receipt::Receipt;
use crate::segment::{MAX_SEGMENT_RECEIPTS, Segment};

/// One batch as its home sent it.
#[derive(Debug)]
struct Batch {
    number: u64,
    receipts: Vec<Receipt>,
}

/// The receipts held for peers, bounded in number.
#[derive(Debug)]
pub struct HeldReceipts {
    writer: Incarnation,
    max_receipts: usize,
    held: usize,
    homes: BTreeMap<Incarnation, VecDeque<Batch>>,
    next_segment: u64,
}

impl HeldReceipts {
    /// Makes an empty holder.
    pub fn new(writer: Incarnation, max_receipts: usize) -> HeldReceipts {
        HeldReceipts {
            writer,
            max_receipts,
            held: 0,
            homes: BTreeMap::new(),
            next_segment: 1,
        }
    }

    /// Takes a batch and returns whether there was room.
    ///
    /// Batches up to `saved_batch` are saved and let go.
    pub fn try_hold(
        &mut self,
        home: Incarnation,
        number: u64,
        saved_batch: u64,
        receipts: Vec<Receipt>,
    ) -> bool {
        self.release(home, saved_batch);
        if self.held + receipts.len() > self.max_receipts {
            return false;
        }
        if receipts.is_empty() {
            return true;
        }
        let batches = self.homes.entry(home).or_default();
        if batches.iter().any(|batch| batch.number == number) {
            return true;
        }
        self.held += receipts.len();
        batches.push_back(Batch { number, receipts });
        true
    }

    /// Returns how many receipts are held.
    pub fn count(&self) -> usize {
        self.held
    }

    /// Returns the homes for which receipts are held.
    pub fn homes(&self) -> Vec<Incarnation> {
        self.homes.keys().copied().collect()
    }

    /// Returns the receipts of a home that is gone, as a segment to save.
    pub fn takeover_segment(&self, home: Incarnation) -> Option<Segment> {
        let batches = self.homes.get(&home)?;
        let mut receipts = Vec::new();
        for batch in batches {
            if !receipts.is_empty() && receipts.len() + batch.receipts.len() > MAX_SEGMENT_RECEIPTS
            {
                break;
            }
            receipts.extend(batch.receipts.iter().cloned());
        }
        Some(Segment {
            home,
            writer: self.writer,
            number: self.next_segment,
            receipts,
        })
    }

    /// Notes that an adopted segment is saved.
    pub fn mark_saved(&mut self, segment: &Segment) {
        self.next_segment = self.next_segment.max(segment.number + 1);
        let Some(batches) = self.homes.get_mut(&segment.home) else {
            return;
        };
        let mut left = segment.receipts.len();
        while left > 0 {
            let Some(batch) = batches.pop_front() else {
                break;
            };
            left = left.saturating_sub(batch.receipts.len());
            self.held -= batch.receipts.len();
        }
        if batches.is_empty() {
            self.homes.remove(&segment.home);
        }
    }

    fn release(&mut self, home: Incarnation, saved_batch: u64) {
        let Some(batches) = self.homes.get_mut(&home) else {
            return;
        };
        while batches
            .front()
            .is_some_and(|batch| batch.number <= saved_batch)
        {
            if let Some(batch) = batches.pop_front() {
                self.held -= batch.receipts.len();
            }
        }
        if batches.is_empty() {
            self.homes.remove(&home);
        }
    }
}
