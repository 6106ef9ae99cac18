//! Request handling: reads, plans, runs, bills and answers each request.

pub(crate) mod answer_stream;
pub(crate) mod billing;
pub(crate) mod body;
pub(crate) mod buffered;
pub(crate) mod chat_request;
pub(crate) mod claim;
pub(crate) mod context;
pub(crate) mod deadline;
pub(crate) mod execution;
pub(crate) mod finished_call;
pub(crate) mod forwarding;
pub(crate) mod idempotency;
pub(crate) mod outcome;
pub(crate) mod plan;
pub(crate) mod receipt_takeover;
pub(crate) mod receipt_writer;
pub(crate) mod service_call;
pub(crate) mod stream;
pub(crate) mod upstream_calls;
