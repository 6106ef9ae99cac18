//! Clients of what the platform gives: the object API, the instance list, the rating service and
//! the weight store.
//!
//! Each is a small trait with one HTTP client. Calls are counted against a budget.
//!
//! # Examples
//!
//! ```
//! use store::{Budget, Meter};
//!
//! let meter = Meter::new(Budget { reads_per_s: 1.0, writes_per_s: 1.0 });
//! assert!(meter.take_read(0).is_ok());
//! assert!(meter.take_read(0).is_err());
//! ```

mod api;
mod error;
mod http;
mod meter;

pub use api::{
    Expect, InstanceList, InstanceState, ListedInstance, Listing, ObjectApi, Rated, RatingService,
    Sample, WeightStore, Weights,
};
pub use error::StoreError;
pub use http::HttpPlatform;
pub use meter::{Budget, Meter, Usage};
