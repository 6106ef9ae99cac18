//! Whether an answer that ended with its connection is complete.

use std::io;

use relay::Exchange;

use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::reach;
use crate::request_context::RequestContext;

/// Checks that an answer with neither length nor chunks has a body, and that its endpoint outlived it.
///
/// A head that was cut short may end with a blank line and without the field that frames its body.
///
/// The kernel closes the connections of a process that ends as if the process had closed them, so that
/// an answer which it cuts short looks complete. It closes the listener of the process first.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::UnexpectedEof`] if the body is empty, or the endpoint accepts no connection
/// any more.
pub(crate) async fn check_end(
    context: &RequestContext,
    exchange: &Exchange,
    endpoint: &Endpoint,
    state: &EndpointState,
) -> io::Result<()> {
    if !exchange.ends_with_connection() {
        return Ok(());
    }
    if exchange.is_empty() {
        let message = "the answer has neither a length nor a body";
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
    }
    let reached = reach::connect(context, endpoint, state).await;
    reached.map_err(|err| {
        let message = format!("the endpoint may have ended with its answer: {err}");
        io::Error::new(io::ErrorKind::UnexpectedEof, message)
    })
}
