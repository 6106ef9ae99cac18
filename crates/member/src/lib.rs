//! Membership of the entry instances, as a pure state machine.
//!
//! Instances probe random peers, spread what they learn with the probes, and elect nobody.
//!
//! # Examples
//!
//! ```
//! use kernel::Incarnation;
//! use member::{Member, MemberTable, MemberTableSettings};
//!
//! let me = Member::new(Incarnation::from_u64(1), "entry-1", "thamel");
//! let table = MemberTable::new(me, MemberTableSettings::default());
//! assert_eq!(table.live().len(), 1);
//! ```

mod member;
mod selection;
mod table;

pub use member::{Member, Status};
pub use selection::{highest_ranked, members_for_caller, rank, receipt_holders};
pub use table::{MemberTable, MemberTableSettings};
