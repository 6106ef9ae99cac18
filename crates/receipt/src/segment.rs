//! A batch of receipts as it stands in the object API.

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::receipt::Receipt;

/// The most receipts in one segment, which keeps it below the platform's largest value.
pub(crate) const MAX_SEGMENT_RECEIPTS: usize = 2000;

/// A batch of receipts of one home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The incarnation that ran the requests.
    pub home: Incarnation,
    /// The incarnation that writes the segment: the home, or a peer that held receipts for it.
    pub writer: Incarnation,
    /// The number among the writer's segments of this home.
    pub number: u64,
    /// The receipts.
    pub receipts: Vec<Receipt>,
}

/// Returns the settlement shard of a home.
pub fn shard_of(home: Incarnation, shards: u32) -> u32 {
    (home.as_u64() % u64::from(shards.max(1))) as u32
}

impl Segment {
    /// Returns the object path.
    pub fn path(&self, shards: u32) -> String {
        let shard = shard_of(self.home, shards);
        format!(
            "receipts/{shard}/{}/{}-{}",
            self.home, self.writer, self.number
        )
    }
}
