//! Copies of the receipts of other instances, held until the receipts are saved.

use std::collections::{BTreeMap, VecDeque};

use kernel::Incarnation;

use crate::receipt::Receipt;
use crate::segment::{MAX_SEGMENT_RECEIPTS, Segment};

/// A batch of receipts as its home sent it.
#[derive(Debug)]
struct Batch {
    number: u64,
    receipts: Vec<Receipt>,
}

/// Receipts held for an instance, as a segment to save in its place.
#[derive(Debug)]
pub struct Takeover {
    /// The oldest receipts held.
    pub segment: Segment,
    /// The number of the last batch in the segment.
    last_batch: u64,
}

/// Copies of the receipts of other instances, up to a maximum number.
///
/// If the home of the receipts fails before it saved them, the holder saves them in its place.
#[derive(Debug)]
pub struct HeldReceipts {
    writer: Incarnation,
    max_receipts: usize,
    count: usize,
    homes: BTreeMap<Incarnation, VecDeque<Batch>>,
    next_segment: u64,
}

impl HeldReceipts {
    /// Creates an empty set for the instance that would write the segments.
    pub fn new(writer: Incarnation, max_receipts: usize) -> HeldReceipts {
        HeldReceipts {
            writer,
            max_receipts,
            count: 0,
            homes: BTreeMap::new(),
            next_segment: 1,
        }
    }

    /// Stores a batch and returns whether there was room. A batch already held is not stored again.
    ///
    /// Batches of the home up to number `saved_batch` are saved and are dropped first.
    pub fn try_hold(
        &mut self,
        home: Incarnation,
        number: u64,
        saved_batch: u64,
        receipts: Vec<Receipt>,
    ) -> bool {
        self.drop_saved(home, saved_batch);
        if self.count + receipts.len() > self.max_receipts {
            return false;
        }
        if receipts.is_empty() {
            return true;
        }
        let batches = self.homes.entry(home).or_default();
        if batches.iter().any(|batch| batch.number == number) {
            return true;
        }
        self.count += receipts.len();
        batches.push_back(Batch { number, receipts });
        true
    }

    /// Returns the number of receipts held.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the incarnations for which receipts are held.
    pub fn homes(&self) -> Vec<Incarnation> {
        self.homes.keys().copied().collect()
    }

    /// Returns the oldest receipts held for a home, to save in its place.
    ///
    /// Each segment has a new number, as a write that failed may still arrive.
    pub fn takeover(&mut self, home: Incarnation) -> Option<Takeover> {
        let batches = self.homes.get(&home)?;
        let mut receipts = Vec::new();
        let mut last_batch = 0;
        for batch in batches {
            if !receipts.is_empty() && receipts.len() + batch.receipts.len() > MAX_SEGMENT_RECEIPTS
            {
                break;
            }
            receipts.extend(batch.receipts.iter().cloned());
            last_batch = batch.number;
        }
        let segment = Segment {
            home,
            writer: self.writer,
            number: self.next_segment,
            receipts,
        };
        self.next_segment += 1;
        Some(Takeover {
            segment,
            last_batch,
        })
    }

    /// Drops the batches of a segment that was saved in place of its home.
    ///
    /// The home may still run, and may have saved some of them and sent others meanwhile.
    pub fn mark_saved(&mut self, saved: &Takeover) {
        self.drop_saved(saved.segment.home, saved.last_batch);
    }

    fn drop_saved(&mut self, home: Incarnation, saved_batch: u64) {
        let Some(batches) = self.homes.get_mut(&home) else {
            return;
        };
        while batches
            .front()
            .is_some_and(|batch| batch.number <= saved_batch)
        {
            if let Some(batch) = batches.pop_front() {
                self.count -= batch.receipts.len();
            }
        }
        if batches.is_empty() {
            self.homes.remove(&home);
        }
    }
}
