//! Where a request goes next.

use std::rc::Rc;
use std::sync::Arc;

use limits::{Candidate, PlacementError, place};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::Endpoint;
use crate::job::Job;
use crate::station::{Station, StationKey, Stations};
use crate::view::View;

/// How much of an endpoint's connections all instances together use.
const CONNECTION_SHARE: f64 = 0.9;

/// The place of one send.
pub(crate) struct Place {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) station: Rc<Station>,
}

/// Chooses the endpoint of the next send.
///
/// # Errors
///
/// Fails when no endpoint of the service takes it.
pub(crate) fn next_place(
    job: &Job,
    view: &View,
    stations: &Stations,
    zone: &str,
    now_ms: u64,
) -> Result<Place, PlacementError> {
    let Some(pool) = view.pools.get(&job.service) else {
        return Err(PlacementError::NoCandidate);
    };
    let eligible = pool.eligible(job.conversation_unit());
    let cap = connection_cap(job.max_connections, view.instance_count);
    let mut places = Vec::new();
    let mut candidates = Vec::new();
    for endpoint in eligible {
        let station = stations.of(endpoint);
        if station.is_misdirected() || job.tried.contains(&StationKey::of(endpoint)) {
            continue;
        }
        candidates.push(Candidate {
            load: station.load(),
            slots: endpoint.slots,
            latency_ratio: station.slowness(),
            same_zone: &*endpoint.zone == zone,
            health: station.health(now_ms),
            affinity: affinity(job, endpoint),
            has_capacity: station.connections() < cap,
        });
        places.push((endpoint, station));
    }
    let chosen = place(&candidates, &mut fastrand::Rng::new())?;
    let (endpoint, station) = places.swap_remove(chosen);
    Ok(Place {
        endpoint: endpoint.clone(),
        station,
    })
}

/// Returns the weight of an endpoint for the prompt part that a request shares with others.
fn affinity(job: &Job, endpoint: &Endpoint) -> Option<u64> {
    if !job.route.prefix_affinity {
        return None;
    }
    let part = job.ask.shared_part()?;
    Some(xxh3_64_with_seed(endpoint.id.as_bytes(), part.id))
}

/// Returns how many connections to one endpoint this instance may hold.
fn connection_cap(max_connections: u32, instances: usize) -> u32 {
    let share = f64::from(max_connections) * CONNECTION_SHARE / instances.max(1) as f64;
    (share as u32).max(1)
}
