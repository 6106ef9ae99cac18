//! Maps requests to routes by host and path prefix, and routes to services by weight.
//!
//! A [`Table`] holds one immutable version of the configuration: routes, services, the workspaces
//! with their API keys, and limits on callers.
//!
//! # Examples
//!
//! ```
//! use route::{Route, Table, Target};
//!
//! let route = Route::new("gates", "gates.example", "/clear/")
//!     .with_target(Target::new("gate-app", 1));
//! let table = Table::new(7).with_route(route);
//! let found = table.find("gates.example", "/clear/42").unwrap();
//! assert_eq!(&*found.name, "gates");
//! ```

mod homes;
mod limit;
mod route;
mod service;
mod table;
mod workspace;

pub use homes::common_homes;
pub use limit::CallerLimits;
pub use route::{DEFAULT_TIMEOUT_MS, RetrySafety, Route, Target};
pub use service::{ColdStart, Engine, ModelSize, Service};
pub use table::{KeyError, Table};
pub use workspace::Workspace;
