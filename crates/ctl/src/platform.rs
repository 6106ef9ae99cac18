//! Access to the platform.

use std::net::SocketAddr;

use store::{HttpPlatformClient, RateLimits, StoreError};

use crate::error::{CommandError, ExitStatus};

/// Timeout of a platform call.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Rate limits of platform calls of one command.
const RATE_LIMITS: RateLimits = RateLimits {
    reads_per_s: 200.0,
    writes_per_s: 100.0,
};

/// Creates a client of the platform.
pub(crate) fn connect(addr: SocketAddr) -> HttpPlatformClient {
    HttpPlatformClient::new(addr, CALL_TIMEOUT_MS, RATE_LIMITS).with_caller("rosemaryctl")
}

/// Converts a failed platform call to the error of a command.
pub(crate) fn command_error(action: &str, err: &StoreError) -> CommandError {
    let status = if *err == StoreError::Conflict {
        ExitStatus::Conflict
    } else {
        ExitStatus::Failed
    };
    CommandError::new(status, format!("{action}: {err}"))
}
