//! Whether an endpoint still lives, as a new connection to its address and the registry show.

use std::io;
use std::time::{Duration, Instant};

use relay::timeout_at;

use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::reach;
use crate::request_context::RequestContext;

/// How long an endpoint has to keep a new connection open. The backlog of a process that ends, or a proxy
/// before it, may accept a connection and close it a moment later.
const LIVENESS_TIME: Duration = Duration::from_millis(30);

/// Why an endpoint is not known to live.
#[derive(Debug)]
pub(crate) enum LifeError {
    /// It refuses or closes a new connection.
    Unreached(io::Error),
    /// No connection was established in time, which says nothing of it.
    Silent,
    /// A later run listens at its address.
    Replaced,
}

/// Checks that an endpoint keeps a new connection, and that no later run listens at its address.
///
/// # Errors
///
/// Fails if the endpoint may have ended.
pub(crate) async fn check_life(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
) -> Result<(), LifeError> {
    let alive = check_alive(context, endpoint, state).await;
    let view = context.view();
    if view.has_successor(endpoint.addr, endpoint.started_ms) {
        return Err(LifeError::Replaced);
    }
    alive.map_err(|err| match err.kind() {
        io::ErrorKind::TimedOut => LifeError::Silent,
        _ => LifeError::Unreached(err),
    })
}

/// Checks that an endpoint keeps a connection.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] if no connection is established in time, as the endpoint is busy
/// or cut off, and with other errors if it refuses or closes one.
async fn check_alive(
    context: &RequestContext,
    endpoint: &Endpoint,
    state: &EndpointState,
) -> io::Result<()> {
    let mut socket = reach::connect(context, endpoint, state).await?;
    match timeout_at(Instant::now() + LIVENESS_TIME, socket.fill()).await {
        Ok(true) => return Ok(()),
        Ok(false) => return Err(io::ErrorKind::ConnectionAborted.into()),
        Err(err) if err.kind() == io::ErrorKind::TimedOut => {}
        Err(err) => return Err(err),
    }
    // The connection may have been accepted just before the endpoint ended, and never be closed.
    reach::connect(context, endpoint, state).await.map(drop)
}
