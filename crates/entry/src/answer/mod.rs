//! The way of one request: read, planned, run, billed and answered.

pub(crate) mod billing;
pub(crate) mod body;
pub(crate) mod calls;
pub(crate) mod chat_request;
pub(crate) mod claim;
pub(crate) mod context;
pub(crate) mod deadline;
pub(crate) mod execution;
pub(crate) mod forward;
pub(crate) mod idempotency;
pub(crate) mod outcome;
pub(crate) mod plan;
pub(crate) mod pump;
pub(crate) mod receipt_takeover;
pub(crate) mod receipt_writer;
pub(crate) mod service;
pub(crate) mod stream;
pub(crate) mod teach;
pub(crate) mod whole;
