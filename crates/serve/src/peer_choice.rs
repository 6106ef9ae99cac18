//! The peers that may carry a request.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Incarnation;
use limits::Carrier;
use member::Member;

use crate::active_request::ActiveRequest;
use crate::evacuation::eligible;
use crate::request_context::RequestContext;
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
    /// What is known of it as a carrier.
    pub(crate) carrier: Carrier,
}

/// Returns the peers that were not asked yet to carry a request.
pub(crate) fn list_peers(
    request: &ActiveRequest,
    view: &View,
    context: &RequestContext,
) -> Vec<Peer> {
    let now_ms = context.now_ms();
    let endpoints = endpoint_hashes(request, view, context);
    let shared_loads = context.endpoint_states.shared_loads();
    let cut_off = shared_loads.peers_cut_off(&request.service);
    let mut peers = Vec::new();
    for member in view.members.iter() {
        let Ok(addr) = member.carry_addr.parse() else {
            continue;
        };
        // The region of the caller is not known here, so that a peer must be in a home.
        if request.peers_asked.contains(&member.incarnation)
            || !request.is_permitted_in(view, &member.zone)
            || !may_reach(member, view, context, &endpoints)
        {
            continue;
        }
        let states = &context.peer_states;
        let carrier = Carrier {
            is_cut_off: cut_off.contains(&member.incarnation),
            is_paused: states.is_paused(member.incarnation, &request.service, now_ms),
            is_remote: *member.zone != *context.settings.zone,
            in_flight: states.in_flight(member.incarnation),
        };
        peers.push(Peer {
            incarnation: member.incarnation,
            name: member.name.clone(),
            addr,
            carrier,
        });
    }
    peers
}

/// Returns whether a member is a peer that may reach one of these endpoints, by the hashes of their runs.
fn may_reach(member: &Member, view: &View, context: &RequestContext, endpoints: &[u64]) -> bool {
    if Some(member.incarnation) == view.incarnation {
        return false;
    }
    let shared_loads = context.endpoint_states.shared_loads();
    let Some(reach) = shared_loads.peer_reach(member.incarnation) else {
        // In a larger fleet reports are summed up on their way.
        return view.instance_count > MAX_DIRECT_INSTANCES;
    };
    let mut endpoints = endpoints.iter();
    context.now_ms() < reach.received_ms + MAX_REPORT_AGE_MS
        && endpoints.any(|endpoint| !reach.out_of_reach.contains(endpoint))
}

/// Returns the addresses at which peers take requests of others: in random order, first of those that may
/// reach an endpoint, by the hash of its run. Reports are old after a pause of this instance.
pub(crate) fn peer_addrs(view: &View, context: &RequestContext, endpoint: u64) -> Vec<SocketAddr> {
    let mut members: Vec<&Member> = view.members.iter().collect();
    members.retain(|member| Some(member.incarnation) != view.incarnation);
    fastrand::shuffle(&mut members);
    members.sort_by_key(|member| !may_reach(member, view, context, &[endpoint]));
    let addrs = members.into_iter().map(|member| member.carry_addr.parse());
    addrs.flatten().collect()
}

fn endpoint_hashes(request: &ActiveRequest, view: &View, context: &RequestContext) -> Vec<u64> {
    let Some(pool) = view.pools.get(&request.service) else {
        return Vec::new();
    };
    let mut hashes = Vec::new();
    for endpoint in eligible(request, view, pool, context.now_ms()) {
        hashes.push(context.endpoint_states.of(endpoint).shared_hash());
    }
    hashes
}
