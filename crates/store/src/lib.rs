//! Clients of what the platform gives: the object API, the instance list, the rating service and
//! the weight store.
//!
//! Each is a small trait with one HTTP client. Calls are counted against a budget.
//!
//! # Examples
//!
//! ```
//! use store::{RateLimits, RateLimiter};
//!
//! let limiter = RateLimiter::new(RateLimits { reads_per_s: 1.0, writes_per_s: 1.0 });
//! assert!(limiter.try_acquire_read(0).is_ok());
//! assert!(limiter.try_acquire_read(0).is_err());
//! ```

mod api;
mod error;
mod http_client;
mod rate_limiter;

pub use api::{
    AnswerSample, InstanceList, InstanceState, ListedInstance, Listing, ObjectApi, Precondition,
    Rating, RatingService, WeightStore, Weights,
};
pub use error::StoreError;
pub use http_client::HttpPlatformClient;
pub use rate_limiter::{CallCounts, RateLimiter, RateLimits};
