//! Quotas, admission, retry budgets and the choice of an endpoint, as pure decisions.
//!
//! Time, randomness and views of the endpoints are arguments, so that the same code runs live, in
//! tests and in benches.
//!
//! # Examples
//!
//! ```
//! use limits::Bucket;
//!
//! let mut bucket = Bucket::new(10.0, 0.1, 0);
//! assert!(bucket.take(0).is_ok());
//! assert_eq!(bucket.take(0), Err(100));
//! ```

mod admission;
mod balance;
mod bucket;
mod comeback;
mod outlier;
mod place;
mod repeats;
mod retry;
mod share;
mod work;

pub use admission::{Admission, AdmissionSettings};
pub use balance::{Choice, EndpointView, choose, prefix_choice};
pub use bucket::Bucket;
pub use comeback::Comeback;
pub use outlier::{Health, Outlier};
pub use place::{Candidate, NoPlace, place};
pub use repeats::{RepeatSettings, RepeatWindow};
pub use retry::RetryBudget;
pub use share::Share;
pub use work::Work;
