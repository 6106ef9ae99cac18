//! Calls to endpoints: which one, over which connection, and whether the call may have run.
//!
//! # Examples
//!
//! ```
//! use upstream::PoolMap;
//!
//! let pools = PoolMap::default();
//! assert!(pools.get("summary-pool").is_none());
//! ```

mod completion;
mod dispatch;
mod endpoint;
mod events;
mod pool;
mod request;
mod response;

pub use completion::{Completion, Usage};
pub use dispatch::{DispatchSettings, Dispatcher};
pub use endpoint::EndpointState;
pub use events::{Event, EventReader};
pub use pool::{PoolMap, PoolState};
pub use request::{UpstreamRequest, UpstreamRequestBuilder};
pub use response::UpstreamResponse;
