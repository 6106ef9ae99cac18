//! Choice of the peer that carries a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use kernel::Incarnation;
use member::Member;

use crate::active_request::ActiveRequest;
use crate::endpoint_state::EndpointStates;
use crate::shared_load::MAX_DIRECT_INSTANCES;
use crate::view::View;

/// How old the report of a peer may be, in milliseconds: several intervals of the reports. An older
/// one may be of a peer that is paused.
const MAX_REPORT_AGE_MS: u64 = 400;

/// How long a peer that could not serve a request is not asked again for its service, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 1_000;

/// A peer that can carry a request.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) name: Arc<str>,
    pub(crate) addr: SocketAddr,
}

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

    fn is_paused(&self, peer: Incarnation, service: &Arc<str>, now_ms: u64) -> bool {
        let paused = self.paused_until_ms.borrow();
        let until_ms = paused.get(&(peer, service.clone()));
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    fn in_flight(&self, peer: Incarnation) -> usize {
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

/// Chooses the peer to carry a request, or `None` if no peer is known to be able to.
pub(crate) fn choose_peer(
    request: &ActiveRequest,
    view: &View,
    endpoint_states: &EndpointStates,
    peer_states: &PeerStates,
    zone: &str,
    now_ms: u64,
) -> Option<Peer> {
    let pool = view.pools.get(&request.service)?;
    let eligible = pool.eligible(request.session_unit());
    let endpoints: Vec<u64> = eligible
        .into_iter()
        .map(|endpoint| endpoint_states.of(endpoint).shared_hash())
        .collect();
    let shared_loads = endpoint_states.shared_loads();
    let may_reach = |peer: &Member| match shared_loads.peer_reach(peer.incarnation) {
        Some(reach) => {
            now_ms < reach.received_ms + MAX_REPORT_AGE_MS
                && endpoints
                    .iter()
                    .any(|endpoint| !reach.out_of_reach.contains(endpoint))
        }
        // In a larger fleet reports are summed up on their way.
        None => view.instance_count > MAX_DIRECT_INSTANCES,
    };
    let mut candidates = Vec::new();
    for member in view.members.iter() {
        let Ok(addr) = member.carry_addr.parse() else {
            continue;
        };
        if Some(member.incarnation) == view.incarnation
            || request.peers_asked.contains(&member.incarnation)
            || peer_states.is_paused(member.incarnation, &request.service, now_ms)
            || !may_reach(member)
        {
            continue;
        }
        let rank = (
            &*member.zone != zone,
            peer_states.in_flight(member.incarnation),
            fastrand::u32(..),
        );
        let peer = Peer {
            incarnation: member.incarnation,
            name: member.name.clone(),
            addr,
        };
        candidates.push((rank, peer));
    }
    let best = candidates.into_iter().min_by_key(|(rank, _)| *rank);
    best.map(|(_, peer)| peer)
}
