//! A call whose endpoint began to answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use kernel::{Clock, Failure, Reason};
use web::Reply;

use crate::endpoint::{EndpointState, InFlight};

/// A call whose endpoint sent the head of a good response.
pub struct UpstreamResponse {
    /// The endpoint.
    pub endpoint: Arc<EndpointState>,
    reply: Option<Reply>,
    echoed: bool,
    sent_ms: u64,
    clock: Arc<dyn Clock>,
    settled: bool,
    _in_flight: InFlight,
}

impl UpstreamResponse {
    pub(crate) fn new(
        endpoint: Arc<EndpointState>,
        reply: Reply,
        echoed: bool,
        sent_ms: u64,
        clock: Arc<dyn Clock>,
        in_flight: InFlight,
    ) -> UpstreamResponse {
        UpstreamResponse {
            endpoint,
            reply: Some(reply),
            echoed,
            sent_ms,
            clock,
            settled: false,
            _in_flight: in_flight,
        }
    }

    /// Reads the whole answer and ends the call.
    ///
    /// # Errors
    ///
    /// Fails with a verdict of may-have-run when the answer is cut short or too large.
    pub async fn read_all(&mut self, max_bytes: u64) -> Result<Vec<u8>, Failure> {
        let Some(reply) = self.reply.as_mut() else {
            return Err(broken("the answer was read before"));
        };
        match reply.bytes(max_bytes).await {
            Ok(bytes) => {
                self.finish();
                Ok(bytes)
            }
            Err(err) => {
                self.fail();
                Err(broken(&format!("the answer broke off: {err}")))
            }
        }
    }

    /// Ends a call whose answer was read to its end, and lets its connection be reused.
    pub fn finish(&mut self) {
        self.settle(false);
        let Some(reply) = self.reply.take() else {
            return;
        };
        if self.echoed {
            reply.recycle();
        }
    }

    /// Ends a call whose answer broke off.
    pub fn fail(&mut self) {
        self.settle(true);
        self.reply = None;
    }

    fn settle(&mut self, failed: bool) {
        if self.settled {
            return;
        }
        self.settled = true;
        let now_ms = self.clock.mono_ms();
        self.endpoint
            .note(failed, now_ms.saturating_sub(self.sent_ms), now_ms);
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

fn broken(detail: &str) -> Failure {
    Failure::may_have_run(Reason::Endpoint, detail)
}
