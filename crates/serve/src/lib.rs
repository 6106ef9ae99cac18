//! The pipeline that a request passes through: find its route, place it, run it, go on elsewhere
//! when that is allowed, and answer.
//!
//! How callers speak is a [`CallerProtocol`], how endpoints speak an [`EndpointProtocol`]; what is believed of
//! the world comes in as an immutable [`View`].
//!
//! # Examples
//!
//! ```
//! use serve::View;
//!
//! let view = View::default();
//! assert!(view.table.is_none());
//! ```

mod caller_protocol;
mod desk;
mod endpoint;
mod endpoint_protocol;
mod events;
mod job;
mod outcome;
mod pace;
mod pipeline;
mod plan;
mod report;
mod request;
mod run;
mod settings;
mod station;
mod stream;
mod version_counters;
mod view;

pub use caller_protocol::CallerProtocol;
pub use endpoint::Endpoint;
pub use endpoint_protocol::{Attempt, EndpointProtocol, ExecutionStatus, Reply};
pub use events::{Event, EventSplitter};
pub use outcome::{Counters, Observer, Outcome};
pub use pipeline::Pipeline;
pub use request::{PromptPart, RequestInfo, TokenUsage};
pub use settings::Settings;
pub use version_counters::VersionCounters;
pub use view::{Pool, RolloutStage, RolloutView, View};
