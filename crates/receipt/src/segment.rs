//! Batches of receipts stored as one object of the object API.

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::receipt::Receipt;

/// The maximum number of receipts in a segment, which keeps it below the platform's value limit.
pub(crate) const MAX_SEGMENT_RECEIPTS: usize = 2000;

/// A batch of receipts of one incarnation, stored as one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The incarnation that issued the receipts.
    pub home: Incarnation,
    /// The incarnation that writes the segment: the home, or a peer that holds copies for it.
    pub writer: Incarnation,
    /// The sequence number among the writer's segments, from 1.
    pub number: u64,
    /// The receipts, oldest first.
    pub receipts: Vec<Receipt>,
}

/// Returns the settlement shard of an incarnation.
fn shard_of(home: Incarnation, shards: u32) -> u32 {
    (home.as_u64() % u64::from(shards.max(1))) as u32
}

impl Segment {
    /// Returns the object path, given the number of settlement shards.
    pub fn path(&self, shards: u32) -> String {
        let shard = shard_of(self.home, shards);
        format!(
            "receipts/{shard}/{}/{}-{}",
            self.home, self.writer, self.number
        )
    }
}
