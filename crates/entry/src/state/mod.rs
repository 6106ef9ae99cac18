//! State shared by the traffic threads and the control thread, and the messages between them.

pub(crate) mod convert;
pub(crate) mod exposure;
pub(crate) mod key;
pub(crate) mod keyed_requests;
pub(crate) mod messages;
pub(crate) mod outbox;
pub(crate) mod peer_receipts;
pub(crate) mod quotas;
pub(crate) mod replay_buffer;
pub(crate) mod shared;
pub(crate) mod view;
