//! What this instance knows of the peers that it hands requests over to.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use kernel::Incarnation;

/// How long a peer that could not serve a request is not asked again for its service, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 1_000;

/// What this instance knows of the peers that it hands requests over to.
#[derive(Debug, Default)]
pub(crate) struct PeerStates {
    in_flight: RefCell<HashMap<Incarnation, usize>>,
    /// Until when a peer is not asked for a service, in milliseconds.
    paused_until_ms: RefCell<HashMap<(Incarnation, Arc<str>), u64>>,
}

/// Counts a request as in flight at a peer until it is dropped.
#[derive(Debug)]
pub(crate) struct PeerCall {
    states: Rc<PeerStates>,
    peer: Incarnation,
}

impl PeerStates {
    pub(crate) fn start_call(self: &Rc<PeerStates>, peer: Incarnation) -> PeerCall {
        *self.in_flight.borrow_mut().entry(peer).or_default() += 1;
        PeerCall {
            states: self.clone(),
            peer,
        }
    }

    /// Asks a peer no more for a service for a while.
    pub(crate) fn pause(&self, peer: Incarnation, service: &Arc<str>, now_ms: u64) {
        let mut paused = self.paused_until_ms.borrow_mut();
        paused.retain(|_, until_ms| now_ms < *until_ms);
        paused.insert((peer, service.clone()), now_ms + REFUSAL_PAUSE_MS);
    }

    pub(crate) fn is_paused(&self, peer: Incarnation, service: &Arc<str>, now_ms: u64) -> bool {
        let paused = self.paused_until_ms.borrow();
        let until_ms = paused.get(&(peer, service.clone()));
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Returns the number of this instance's requests that a peer is carrying.
    pub(crate) fn in_flight(&self, peer: Incarnation) -> usize {
        let in_flight = self.in_flight.borrow();
        in_flight.get(&peer).copied().unwrap_or_default()
    }
}

impl Drop for PeerCall {
    fn drop(&mut self) {
        let mut in_flight = self.states.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&self.peer) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.peer);
            }
        }
    }
}

/// A call that a peer carries.
#[derive(Debug)]
pub(crate) struct CarriedCall {
    /// Endpoints that the peer may run the request on.
    pub(crate) granted_runs: u32,
    _in_flight: PeerCall,
}

impl CarriedCall {
    pub(crate) fn new(in_flight: PeerCall, granted_runs: u32) -> CarriedCall {
        CarriedCall {
            granted_runs,
            _in_flight: in_flight,
        }
    }
}
