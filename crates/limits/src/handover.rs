//! Where a request goes while endpoints of its service are out of reach: to an endpoint, to a peer that
//! carries it, or back to its sender.
//!
//! It answers cuts between some instances and the endpoints of small and large services, in fleets of a
//! few to hundreds of instances.

/// Endpoints that a request may not reach before a peer is asked.
const MAX_UNREACHED: u32 = 2;

/// Endpoints that a request may not reach at the peer that carries it.
const MAX_UNREACHED_CARRIED: u32 = 3;

/// Peers that may turn a request down. Where half of a fleet is cut off and nobody knows it yet, all of
/// them are once in 256 times.
const MAX_PEERS: usize = 8;

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
    /// Peers that the request was handed over to.
    pub peers_asked: usize,
    /// Endpoints to which no connection was established.
    pub unreached: u32,
    /// Time that these took, in milliseconds.
    pub unreached_ms: u64,
    /// Timeout for establishing one connection, in milliseconds.
    pub connect_timeout_ms: u64,
}

impl Hops {
    /// Returns whether the request has not waited in vain for longer than one connection may take.
    fn may_wait(&self) -> bool {
        self.unreached_ms < self.connect_timeout_ms
    }
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
    /// Whether it reports that it reaches no endpoint of the service.
    pub is_cut_off: bool,
    /// Whether it could not serve a request lately.
    pub is_paused: bool,
    /// Whether it is in another availability zone.
    pub is_remote: bool,
    /// Requests of this instance that it is carrying.
    pub in_flight: usize,
}

/// Returns where a request goes next. The peers that were not asked yet are listed only if one may be.
pub fn next_hop(
    reach: Reach,
    hops: Hops,
    carriers: impl FnOnce() -> Vec<Carrier>,
    random: &mut fastrand::Rng,
) -> NextHop {
    if hops.is_carried {
        // The sender has other peers to ask.
        return match reach {
            Reach::Some if hops.may_wait() && hops.unreached < MAX_UNREACHED_CARRIED => {
                NextHop::Endpoint
            }
            _ => NextHop::Refuse,
        };
    }
    if reach == Reach::Some && hops.unreached < MAX_UNREACHED {
        return NextHop::Endpoint;
    }
    if hops.peers_asked < MAX_PEERS
        && let Some(index) = choose_carrier(&carriers(), random)
    {
        return NextHop::Peer(index);
    }
    match reach {
        Reach::Some => NextHop::Endpoint,
        Reach::Doubtful if hops.may_wait() => NextHop::Endpoint,
        _ => NextHop::Refuse,
    }
}

/// Returns the peer that carries a request, the nearest and least loaded first.
fn choose_carrier(carriers: &[Carrier], random: &mut fastrand::Rng) -> Option<usize> {
    let mut candidates = Vec::new();
    for (index, carrier) in carriers.iter().enumerate() {
        if carrier.is_cut_off || carrier.is_paused {
            continue;
        }
        let rank = (carrier.is_remote, carrier.in_flight, random.u32(..));
        candidates.push((rank, index));
    }
    let best = candidates.into_iter().min();
    best.map(|(_, index)| index)
}
