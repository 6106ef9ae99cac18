//! Repeats that endpoints may receive long after they were sent.
//!
//! The kernel of an endpoint that is paused accepts requests, and the endpoint reads all of them once it
//! goes on, also those that were given up meanwhile. A repeat counts against the retry budget when it may
//! arrive, so that those which wait leave room for fewer others.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::endpoint_state::EndpointState;

/// How long an endpoint that sends nothing may still go on and read what it was sent, in milliseconds.
const MAX_LATENESS_MS: u64 = 30_000;

/// A send without an answer.
#[derive(Clone)]
struct OpenSend {
    endpoint_state: Rc<EndpointState>,
    sent_ms: u64,
}

impl OpenSend {
    /// Returns whether the endpoint has read the request, as far as it shows.
    fn is_read(&self) -> bool {
        self.endpoint_state.last_received_ms() > self.sent_ms
    }
}

/// A retry of a request of which a send has no answer.
pub(crate) struct LateRepeat {
    pub(crate) service: Arc<str>,
    pub(crate) acquired_ms: u64,
    open_sends: Vec<OpenSend>,
}

impl LateRepeat {
    /// Returns whether no send of the request may arrive any more.
    pub(crate) fn has_arrived(&self, now_ms: u64) -> bool {
        let is_expired = now_ms >= self.acquired_ms + MAX_LATENESS_MS;
        is_expired || self.open_sends.iter().all(OpenSend::is_read)
    }
}

/// The repeats of all requests that may arrive late.
#[derive(Default)]
pub(crate) struct LateRepeats {
    /// Those that the retry budget does not know yet.
    new: RefCell<Vec<LateRepeat>>,
    known: RefCell<Vec<LateRepeat>>,
}

impl LateRepeats {
    /// Passes the repeats on that are new, and those that have arrived since.
    pub(crate) fn update(
        &self,
        now_ms: u64,
        mut defer: impl FnMut(&LateRepeat),
        mut arrive: impl FnMut(&LateRepeat),
    ) {
        let mut known = self.known.borrow_mut();
        for repeat in self.new.borrow_mut().drain(..) {
            defer(&repeat);
            known.push(repeat);
        }
        known.retain(|repeat| {
            let has_arrived = repeat.has_arrived(now_ms);
            if has_arrived {
                arrive(repeat);
            }
            !has_arrived
        });
    }
}

/// The sends of one request that have no answer, and its retries that wait for them.
pub(crate) struct RequestRepeats {
    service: Arc<str>,
    all: Rc<LateRepeats>,
    open_sends: Vec<OpenSend>,
    acquired_ms: Vec<u64>,
}

impl RequestRepeats {
    pub(crate) fn new(service: &Arc<str>, all: &Rc<LateRepeats>) -> RequestRepeats {
        RequestRepeats {
            service: service.clone(),
            all: all.clone(),
            open_sends: Vec::new(),
            acquired_ms: Vec::new(),
        }
    }

    /// Records a retry that the budget allows.
    pub(crate) fn record_retry(&mut self, now_ms: u64) {
        self.acquired_ms.push(now_ms);
    }

    pub(crate) fn record_send(&mut self, endpoint_state: &Rc<EndpointState>, now_ms: u64) {
        self.open_sends.push(OpenSend {
            endpoint_state: endpoint_state.clone(),
            sent_ms: now_ms,
        });
    }

    /// Records that the last send ended by an answer, or by the end of its connection.
    pub(crate) fn record_end(&mut self) {
        self.open_sends.pop();
        self.pass_on();
    }

    /// Records that the last send was given up without either.
    pub(crate) fn record_silence(&mut self) {
        self.pass_on();
    }

    /// Leaves the retries to all requests, so that they are counted after this one has ended.
    fn pass_on(&mut self) {
        for acquired_ms in self.acquired_ms.drain(..) {
            if self.open_sends.is_empty() {
                continue;
            }
            self.all.new.borrow_mut().push(LateRepeat {
                service: self.service.clone(),
                acquired_ms,
                open_sends: self.open_sends.clone(),
            });
        }
    }
}

impl Drop for RequestRepeats {
    fn drop(&mut self) {
        self.pass_on();
    }
}
