//! Where a request goes while endpoints of its service are out of reach: to an endpoint, to a peer that
//! carries it, or back to its sender.
//!
//! It answers cuts between some instances and the endpoints of small and large services, in fleets of a
//! few to hundreds of instances.

/// Endpoints that a request may not reach before a peer is asked.
const MAX_UNREACHED: u32 = 2;

/// Peers that may turn a request down.
const MAX_PEERS: usize = 2;

/// What an instance reaches of the endpoints that could take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Some, as far as it knows.
    Some,
    /// Several in a row were out of reach, and none in reach since.
    Doubtful,
    /// None.
    None,
}

/// What became of a request so far.
#[derive(Debug, Clone, Copy)]
pub struct Hops {
    /// Whether a peer handed the request over; it is not handed on then.
    pub is_carried: bool,
    /// Endpoints to which no connection was established.
    pub unreached: u32,
}

/// Where a request goes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextHop {
    /// To an endpoint.
    Endpoint,
    /// To the peer with this index.
    Peer(usize),
    /// Back to its sender, as not run.
    Refuse,
}

/// A peer that may carry a request.
#[derive(Debug, Clone, Copy)]
pub struct Carrier {
    /// Whether the request was handed over to it before.
    pub was_asked: bool,
    /// Whether it could not serve a request lately.
    pub is_paused: bool,
    /// Whether it is in another availability zone.
    pub is_remote: bool,
    /// Requests of this instance that it is carrying.
    pub in_flight: usize,
}

/// Returns where a request goes next. The peers are listed only if one may be asked.
pub fn next_hop(
    reach: Reach,
    hops: Hops,
    carriers: impl FnOnce() -> Vec<Carrier>,
    random: &mut fastrand::Rng,
) -> NextHop {
    if reach == Reach::Some && hops.unreached < MAX_UNREACHED {
        return NextHop::Endpoint;
    }
    let carrier = if hops.is_carried {
        None
    } else {
        choose_carrier(&carriers(), random)
    };
    match carrier {
        Some(index) => NextHop::Peer(index),
        None if reach != Reach::None => NextHop::Endpoint,
        None => NextHop::Refuse,
    }
}

/// Returns the peer that carries a request, the nearest and least loaded first.
fn choose_carrier(carriers: &[Carrier], random: &mut fastrand::Rng) -> Option<usize> {
    let asked = carriers.iter().filter(|carrier| carrier.was_asked).count();
    if asked >= MAX_PEERS {
        return None;
    }
    let mut candidates = Vec::new();
    for (index, carrier) in carriers.iter().enumerate() {
        if carrier.was_asked || carrier.is_paused {
            continue;
        }
        let rank = (carrier.is_remote, carrier.in_flight, random.u32(..));
        candidates.push((rank, index));
    }
    let best = candidates.into_iter().min();
    best.map(|(_, index)| index)
}
