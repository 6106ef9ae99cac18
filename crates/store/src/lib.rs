//! Clients of the platform services: the object API, the instance list, the rating service and the
//! weight store.
//!
//! Each service is a trait, and one HTTP client implements them all. Calls of the object API and
//! the instance list are rate limited on the client side.
//!
//! # Examples
//!
//! ```
//! use store::{RateLimiter, RateLimits};
//!
//! let limiter = RateLimiter::new(RateLimits { reads_per_s: 1.0, writes_per_s: 1.0 });
//! assert!(limiter.try_acquire_read(0).is_ok());
//! assert!(limiter.try_acquire_read(0).is_err());
//! ```

mod api;
mod encoding;
mod error;
mod http_client;
mod rate_limiter;
mod raw_listing;

pub use api::{
    AnswerSample, InstanceList, InstanceState, ListedInstance, Listing, ObjectApi, Precondition,
    Rating, RatingService, WeightStore, Weights,
};
pub use encoding::encode_name;
pub use error::StoreError;
pub use http_client::HttpPlatformClient;
pub use rate_limiter::{CallCounts, RateLimiter, RateLimits};
