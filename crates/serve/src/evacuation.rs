//! Endpoints that a request may be sent to, by its home regions and the evacuated zones.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::active_request::ActiveRequest;
use crate::endpoint::Endpoint;
use crate::view::{Pool, View};

impl View {
    /// Returns the number of zones with an order of evacuation.
    pub fn evacuated_zones(&self) -> usize {
        let evacuations = self.evacuations.values();
        evacuations.filter(|zone| zone.is_ordered()).count()
    }

    /// Returns whether no request may be sent to endpoints of a zone.
    pub(crate) fn is_evacuated(&self, zone: &str, now_ms: u64) -> bool {
        let evacuation = self.evacuations.get(zone);
        evacuation.is_some_and(|evacuation| evacuation.is_complete(now_ms))
    }
}

/// Returns the endpoints of a pool to which requests may be sent, each with the share of all requests that
/// may be sent to it.
pub(crate) fn open_endpoints<'a>(
    view: &View,
    pool: &'a Pool,
    now_ms: u64,
) -> Vec<(&'a Arc<Endpoint>, f64)> {
    let is_open = |endpoint: &Endpoint| !view.is_evacuated(&endpoint.zone, now_ms);
    let mut open = Vec::with_capacity(pool.endpoints.len());
    for (unit, rollout_share) in pool.session_groups() {
        for endpoint in pool.eligible_among(unit, is_open) {
            let evacuation = view.evacuations.get(&endpoint.zone);
            let left_share = evacuation.map_or(0.0, |zone| zone.share(now_ms));
            open.push((endpoint, rollout_share * (1.0 - left_share)));
        }
    }
    open
}

/// Returns the endpoints of a pool that may run a request.
pub(crate) fn eligible<'a>(
    request: &ActiveRequest,
    view: &View,
    pool: &'a Pool,
    now_ms: u64,
) -> Vec<&'a Arc<Endpoint>> {
    let unit = request.session_unit();
    if view.evacuations.is_empty() && request.homes.is_none() {
        return pool.eligible(unit);
    }
    let is_home = |endpoint: &Endpoint| request.is_permitted_in(view, &endpoint.zone);
    if view.evacuations.is_empty() {
        return pool.eligible_among(unit, is_home);
    }
    let has_left = |endpoint: &Endpoint| has_left(request, view, &endpoint.zone, now_ms);
    let staying = pool.eligible_among(unit, |endpoint| is_home(endpoint) && !has_left(endpoint));
    if !staying.is_empty() {
        return staying;
    }
    // Zones that still get requests take these as well if there is no other.
    pool.eligible_among(unit, |endpoint| {
        is_home(endpoint) && !view.is_evacuated(&endpoint.zone, now_ms)
    })
}

/// Returns whether the share of the requests that is not sent to a zone includes this one. All requests of a
/// session leave and return together.
fn has_left(request: &ActiveRequest, view: &View, zone: &str, now_ms: u64) -> bool {
    let Some(evacuation) = view.evacuations.get(zone) else {
        return false;
    };
    let key = request.info.session.as_ref().unwrap_or(&request.info.id);
    // Seeded by the zone, so that it is not the sessions of a roll-out that leave first.
    let hash = xxh3_64_with_seed(key.as_bytes(), xxh3_64(zone.as_bytes()));
    let unit = hash as f64 / (u64::MAX as f64 + 1.0);
    unit < evacuation.share(now_ms)
}
