//! The HTTP API for callers.

pub(crate) mod chat;
pub(crate) mod info;
pub(crate) mod routes;
pub(crate) mod services;
pub(crate) mod sessions;
