//! Choice of the peer that carries a request.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Incarnation;
use member::Member;

use crate::active_request::ActiveRequest;
use crate::endpoint_state::EndpointStates;
use crate::peer_states::PeerStates;
use crate::shared_load::MAX_DIRECT_INSTANCES;
use crate::view::View;

/// How old the report of a peer may be, in milliseconds: several intervals of the reports. An older
/// one may be of a peer that is paused.
const MAX_REPORT_AGE_MS: u64 = 400;

/// A peer that can carry a request.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) name: Arc<str>,
    pub(crate) addr: SocketAddr,
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
