//! Calls to endpoints: which one, over which connection, and whether the call may have run.
//!
//! # Examples
//!
//! ```
//! use upstream::Pools;
//!
//! let pools = Pools::default();
//! assert!(pools.get("summary-pool").is_none());
//! ```

mod call;
mod completion;
mod dispatch;
mod endpoint;
mod events;
mod pool;
mod started;

pub use call::{Call, CallBuilder};
pub use completion::{Completion, Usage};
pub use dispatch::{DispatchSettings, Dispatcher};
pub use endpoint::Endpoint;
pub use events::{Event, EventReader};
pub use pool::{PoolState, Pools};
pub use started::Started;
