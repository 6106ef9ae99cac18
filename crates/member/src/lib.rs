//! SWIM-style membership of the instances, as a state machine without I/O.
//!
//! Instances probe random peers and disseminate membership updates with the probes; there is no
//! leader. The crate also ranks members by rendezvous hashing, so that all instances with the same
//! view select the same member for a key.
//!
//! # Examples
//!
//! ```
//! use kernel::Incarnation;
//! use member::{Member, MemberTable, MemberTableSettings};
//!
//! let local = Member::new(Incarnation::from_u64(1), "entry-1", "thamel");
//! let table = MemberTable::new(local, MemberTableSettings::default());
//! assert_eq!(table.live().len(), 1);
//! ```

mod absent;
mod member;
mod selection;
mod table;

pub use absent::Absent;
pub use member::{Member, Status};
pub use selection::{
    highest_ranked, members_for_caller, rank, receipt_holders, spread_over_zones, store_watchers,
};
pub use table::{MemberTable, MemberTableSettings};
