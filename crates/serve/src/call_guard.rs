//! Counting a call as in flight at an endpoint.

use std::rc::Rc;
use std::time::Instant;

use limits::RequestLoad;

use crate::calls_in_flight::CallProgress;
use crate::endpoint_state::EndpointState;

/// Guard that counts a call as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct CallGuard {
    pub(crate) endpoint_state: Rc<EndpointState>,
    progress: Rc<CallProgress>,
    sent_at: Instant,
    load: f64,
    load_after_head: f64,
}

impl CallGuard {
    pub(crate) fn new(endpoint_state: Rc<EndpointState>, request_load: RequestLoad) -> CallGuard {
        let load = request_load.prefill + request_load.response;
        let progress = endpoint_state.calls.add();
        endpoint_state.add(load);
        CallGuard {
            endpoint_state,
            progress,
            sent_at: Instant::now(),
            load,
            load_after_head: request_load.response,
        }
    }

    /// Releases the load of reading the prompt, which ends when the response starts.
    pub(crate) fn response_started(&mut self, now_ms: u64) {
        self.progress.record_head(now_ms);
        let done = self.load - self.load_after_head;
        self.load = self.load_after_head;
        self.endpoint_state.add(-done);
    }

    /// Returns when the call was sent.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Records that bytes of the response arrived.
    pub(crate) fn record_received(&self, now_ms: u64) {
        self.progress.record_received(now_ms);
        let began_ms = self.progress.began_ms();
        self.endpoint_state.record_received(began_ms, now_ms);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.endpoint_state.calls.remove(&self.progress);
        self.endpoint_state.add(-self.load);
    }
}
