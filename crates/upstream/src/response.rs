//! The response of an endpoint.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use kernel::{Clock, Failure, Reason};
use web::ClientResponse;

use crate::endpoint::{EndpointState, InFlightGuard};

/// A response with status 200 whose body is being read.
///
/// The request counts as in flight until this is dropped. A response that is dropped before
/// [`finish`](Self::finish) or [`fail`](Self::fail) records no outcome for its endpoint.
pub struct UpstreamResponse {
    /// The endpoint that sent the response.
    pub endpoint: Arc<EndpointState>,
    reply: Option<ClientResponse>,
    id_echoed: bool,
    sent_ms: u64,
    clock: Arc<dyn Clock>,
    outcome_recorded: bool,
    _in_flight: InFlightGuard,
}

impl UpstreamResponse {
    pub(crate) fn new(
        endpoint: Arc<EndpointState>,
        reply: ClientResponse,
        id_echoed: bool,
        sent_ms: u64,
        clock: Arc<dyn Clock>,
        in_flight: InFlightGuard,
    ) -> UpstreamResponse {
        UpstreamResponse {
            endpoint,
            reply: Some(reply),
            id_echoed,
            sent_ms,
            clock,
            outcome_recorded: false,
            _in_flight: in_flight,
        }
    }

    /// Reads the whole body and finishes or fails the response.
    ///
    /// # Errors
    ///
    /// Fails with verdict may-have-run if the body is truncated, too large, or was read before.
    pub async fn read_all(&mut self, max_bytes: u64) -> Result<Vec<u8>, Failure> {
        let Some(reply) = self.reply.as_mut() else {
            return Err(may_have_run("the response body was already read"));
        };
        match reply.read_body(max_bytes).await {
            Ok(bytes) => {
                self.finish();
                Ok(bytes)
            }
            Err(err) => {
                self.fail();
                Err(may_have_run(&format!(
                    "reading the response body failed: {err}"
                )))
            }
        }
    }

    /// Records success after the body was read to its end. The connection is reused only if the
    /// endpoint echoes request identifiers, so that a response to an earlier request is detected.
    pub fn finish(&mut self) {
        self.record_outcome(false);
        let Some(reply) = self.reply.take() else {
            return;
        };
        if self.id_echoed {
            reply.recycle();
        }
    }

    /// Records a failure while reading the body and closes the connection.
    pub fn fail(&mut self) {
        self.record_outcome(true);
        self.reply = None;
    }

    fn record_outcome(&mut self, failed: bool) {
        if self.outcome_recorded {
            return;
        }
        self.outcome_recorded = true;
        let now_ms = self.clock.mono_ms();
        self.endpoint
            .record_outcome(failed, now_ms.saturating_sub(self.sent_ms), now_ms);
    }
}

impl AsyncRead for UpstreamResponse {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.reply.as_mut() {
            Some(reply) => Pin::new(reply).poll_read(cx, buf),
            None => Poll::Ready(Ok(0)),
        }
    }
}

fn may_have_run(detail: &str) -> Failure {
    Failure::may_have_run(Reason::EndpointFailed, detail)
}
