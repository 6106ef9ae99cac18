//! Rate limits and quotas, admission control, outlier detection, retry budgets, and the selection
//! of an endpoint.
//!
//! The crate does no I/O: time, randomness and the state of the endpoints are arguments, so that
//! the same code runs in production, in tests and in benches.
//!
//! # Examples
//!
//! ```
//! use limits::TokenBucket;
//!
//! let mut bucket = TokenBucket::new(10.0, 0.1, 0);
//! assert!(bucket.try_acquire(0).is_ok());
//! assert_eq!(bucket.try_acquire(0), Err(100));
//! ```

mod admission;
mod balance;
mod cold_limit;
mod cold_period;
mod crash_guard;
mod crash_history;
mod endpoint_capacity;
mod endpoint_pace;
mod endpoint_rate;
mod fleet_size;
mod handover;
mod heard_fleet;
mod outlier;
mod placement;
mod quota_share;
mod reach_probes;
mod recent_times;
mod refusal_allowance;
mod request_load;
mod retry_after;
mod service_order;
mod shortlist;
mod success_retry;
mod token_bucket;
mod windowed_retry;
mod zone_evacuation;

pub use admission::{Admission, AdmissionSettings};
pub use balance::{Choice, EndpointView, choose, choose_by_prefix};
pub use cold_limit::{ColdDivision, ColdLimit, ColdRate};
pub use cold_period::{COLD_GRACE_MS, ColdPeriod, ColdSight, MAX_COLD_MS};
pub use crash_guard::{Admittance, CrashGuard};
pub use crash_history::{Crash, CrashBlock, CrashHistory, CrashReport, Subject};
pub use endpoint_capacity::{EndpointCapacity, Withheld};
pub use endpoint_pace::{EndpointPace, PaceSums, time_ratios};
pub use endpoint_rate::{EndpointRate, RateDivision};
pub use fleet_size::{Fleet, FleetSize};
pub use handover::{Carrier, Hops, NextHop, Reach, next_hop};
pub use heard_fleet::HeardFleet;
pub use outlier::{Health, OutlierDetector};
pub use placement::{Candidate, PlacementError, PromptLoad, Selected, place};
pub use quota_share::QuotaShare;
pub use reach_probes::{MIN_PROBE_INTERVAL_MS, Path, ProbePlan, ReachProbes};
pub use refusal_allowance::{EndpointUse, RefusalAllowance};
pub use request_load::RequestLoad;
pub use retry_after::RetryAfterSchedule;
pub use service_order::{Order, OrderReason, PendingRequest, Pressure, ServiceOrder};
pub use shortlist::shortlist;
pub use success_retry::SuccessRetryBudget;
pub use token_bucket::TokenBucket;
pub use windowed_retry::{WindowedRetryBudget, WindowedRetrySettings};
pub use zone_evacuation::ZoneEvacuation;
