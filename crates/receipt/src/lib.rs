//! Receipts, the segments that carry them to the platform, and the statements they settle into.
//!
//! A receipt may be written many times. Its incarnation numbers the receipts of each workspace
//! without gaps, and a statement remembers which numbers it took in, so that each counts once.
//!
//! # Examples
//!
//! ```
//! use receipt::Intervals;
//!
//! let mut taken = Intervals::default();
//! assert!(taken.insert(1));
//! assert!(!taken.insert(1));
//! ```

mod holder;
mod intervals;
mod ledger;
mod receipt;
mod segment;
mod statement;

pub use holder::Holder;
pub use intervals::Intervals;
pub use ledger::{Draft, Ledger};
pub use receipt::{Outcome, Receipt, Work};
pub use segment::{Segment, shard_of};
pub use statement::{
    ArmTotals, BUCKET_MS, Bucket, Folded, LATENCY_BINS, Statement, Totals, latency_bin,
};
