//! The way of one request: read, planned, run, billed and answered.

pub(crate) mod adopt;
pub(crate) mod billing;
pub(crate) mod body;
pub(crate) mod calls;
pub(crate) mod claim;
pub(crate) mod completion;
pub(crate) mod context;
pub(crate) mod deadline;
pub(crate) mod execute;
pub(crate) mod forward;
pub(crate) mod once;
pub(crate) mod outcome;
pub(crate) mod plan;
pub(crate) mod pump;
pub(crate) mod record;
pub(crate) mod service;
pub(crate) mod stream;
pub(crate) mod teach;
pub(crate) mod whole;
