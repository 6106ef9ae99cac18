//! Request pipeline: finds the route of a request, sends it to an endpoint, retries it at others
//! where that is safe, and returns the response.
//!
//! A [`CallerProtocol`] decodes requests and an [`EndpointProtocol`] encodes them for endpoints.
//! Configuration, endpoints and roll-outs are read from an immutable [`View`].
//!
//! # Examples
//!
//! ```
//! use serve::View;
//!
//! let view = View::default();
//! assert!(view.table.is_none());
//! ```

mod active_request;
mod admission;
mod answer_end;
mod baseline;
mod buffered_body;
mod call_guard;
mod call_record;
mod caller_protocol;
mod calls_in_flight;
mod carried;
mod carry;
mod carry_handler;
mod carry_message;
mod cold_ends;
mod cold_senders;
mod completion;
mod continuation;
mod dispatch;
mod endpoint;
mod endpoint_cold;
mod endpoint_protocol;
mod endpoint_state;
mod endpoint_states;
mod endpoint_values;
mod escalation;
mod evacuation;
mod events;
mod homes;
mod late_repeats;
mod late_runs;
mod latency_ratio;
mod life;
mod life_check;
mod life_question;
mod other_answers;
mod outcome;
mod pace_comparison;
mod pace_meter;
mod pace_state;
mod peer_choice;
mod peer_states;
mod pipeline;
mod placement;
mod projection;
mod reach;
mod recent_starts;
mod request;
mod request_context;
mod request_key;
mod request_log;
mod request_order;
mod retries_left;
mod run;
mod run_book;
mod service_orders;
mod settings;
mod shared_cold;
mod shared_crashes;
mod shared_limit;
mod shared_load;
mod shared_pace;
mod size_book;
mod stall;
mod stop_signal;
mod stream;
mod version_counters;
mod view;
mod witness;
mod witnessing;

pub use caller_protocol::CallerProtocol;
pub use carry_handler::CarryHandler;
pub use endpoint::{ColdLeft, Endpoint};
pub use endpoint_protocol::{Attempt, EndpointProtocol, ExecutionStatus, Reply, Responder};
pub use endpoint_values::{
    parse_duration_ms, parse_rate_per_s, parse_request_count, requested_pause_ms,
};
pub use events::{Event, EventSplitter};
pub use late_runs::LateRunCounters;
pub use outcome::{Counters, Observer, Outcome};
pub use pipeline::Pipeline;
pub use request::{PromptPart, RequestInfo, TokenUsage};
pub use settings::Settings;
pub use shared_cold::{ColdEntry, SharedCold};
pub use shared_crashes::SharedCrashes;
pub use shared_limit::{LimitEntry, SharedLimits};
pub use shared_load::{
    EndpointLoad, LoadEntry, MAX_DIRECT_INSTANCES, PeerReach, SharedLoads, service_hash,
};
pub use shared_pace::SharedPaces;
pub use version_counters::{CallOutcome, Measured, RunningCalls, VersionCounters};
pub use view::{Pool, RolloutStage, RolloutView, View};
