//! The pipeline that a request passes through: find its route, place it, run it, go on elsewhere
//! when that is allowed, and answer.
//!
//! How callers speak is a [`Face`], how endpoints speak an [`EndpointProtocol`]; what is believed of
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

mod ask;
mod desk;
mod endpoint;
mod events;
mod face;
mod job;
mod journal;
mod pace;
mod pipeline;
mod plan;
mod protocol;
mod report;
mod run;
mod settings;
mod station;
mod stream;
mod tally;
mod view;

pub use ask::{Ask, PromptPart, TokenUse};
pub use endpoint::Endpoint;
pub use events::{Event, EventSplitter};
pub use face::Face;
pub use journal::{Counters, Observer, Outcome};
pub use pipeline::Pipeline;
pub use protocol::{Attempt, EndpointProtocol, Reply, Standing};
pub use settings::Settings;
pub use tally::Tally;
pub use view::{Pool, Shift, Stage, View};
