//! The platform as operators reach it.

use std::net::SocketAddr;

use store::{HttpPlatformClient, RateLimits, StoreError};

use crate::error::{CommandError, ExitStatus};

/// How long a platform call may take, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

/// The budget of calls of one command.
const BUDGET: RateLimits = RateLimits {
    reads_per_s: 200.0,
    writes_per_s: 100.0,
};

/// Makes a client.
pub(crate) fn connect(addr: SocketAddr) -> HttpPlatformClient {
    HttpPlatformClient::new(addr, TIMEOUT_MS, BUDGET).with_caller("rosemaryctl")
}

/// Makes the end of a command out of a failed call.
pub(crate) fn command_error(what: &str, err: &StoreError) -> CommandError {
    let code = if *err == StoreError::Conflict {
        ExitStatus::Conflict
    } else {
        ExitStatus::Failed
    };
    CommandError::new(code, format!("{what}: {err}"))
}
