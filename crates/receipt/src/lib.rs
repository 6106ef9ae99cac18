//! Receipts, the segments that carry them to the platform, and the statements they settle into.
//!
//! A receipt may be written many times. Its incarnation numbers the receipts of each workspace
//! without gaps, and a statement remembers which numbers it took in, so that each counts once.
//!
//! # Examples
//!
//! ```
//! use receipt::IntervalSet;
//!
//! let mut taken = IntervalSet::default();
//! assert!(taken.insert(1));
//! assert!(!taken.insert(1));
//! ```

mod held;
mod interval_set;
mod outbox;
mod receipt;
mod segment;
mod statement;

pub use held::HeldReceipts;
pub use interval_set::IntervalSet;
pub use outbox::{ReceiptDraft, ReceiptOutbox};
pub use receipt::{Outcome, Receipt, RequestUsage};
pub use segment::{Segment, shard_of};
pub use statement::{
    AppliedReceipts, ArmTotals, BUCKET_MS, LATENCY_BINS, SloBucket, Statement, Totals, latency_bin,
};
