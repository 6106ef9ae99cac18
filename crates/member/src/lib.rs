//! Membership of the entry instances, as a pure state machine.
//!
//! Instances probe random peers, spread what they learn with the probes, and elect nobody.
//!
//! # Examples
//!
//! ```
//! use kernel::Incarnation;
//! use member::{Member, Table, TableSettings};
//!
//! let me = Member::new(Incarnation::from_u64(1), "entry-1", "thamel");
//! let table = Table::new(me, TableSettings::default());
//! assert_eq!(table.live().len(), 1);
//! ```

mod info;
mod rank;
mod table;

pub use info::{Member, Status};
pub use rank::{first_choice, holders, rank, spread};
pub use table::{Table, TableSettings};
