//! Billing receipts, the segments in which they are stored, and the statements that sum them up.
//!
//! A receipt may be stored more than once, since a write without a response is retried and a peer
//! may write the same receipt. The issuing incarnation numbers the receipts of each workspace
//! without gaps, and a statement records the numbers it has applied, so that each is billed once.
//!
//! # Examples
//!
//! ```
//! use receipt::IntervalSet;
//!
//! let mut applied = IntervalSet::default();
//! assert!(applied.insert(1));
//! assert!(!applied.insert(1));
//! ```

mod held;
mod interval_set;
mod outbox;
mod receipt;
mod segment;
mod statement;

pub use held::{HeldReceipts, Takeover};
pub use interval_set::IntervalSet;
pub use outbox::{ReceiptDraft, ReceiptOutbox};
pub use receipt::{Outcome, Receipt, RequestUsage};
pub use segment::Segment;
pub use statement::{AppliedReceipts, ArmTotals, LATENCY_BINS, SloBucket, Statement, Totals};
