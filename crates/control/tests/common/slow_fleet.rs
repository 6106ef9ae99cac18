//! Fleets whose links are slow, and configurations that are large for them.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::{Value, json};

use super::{Instance, MemoryStore, StoreConnection, eventually, slow_link};

/// 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// The time within which a configuration must be in force on the large deployments.
pub const APPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Returns a configuration of about a quarter of a kilobyte a route.
pub fn configuration(version: u64, routes: usize) -> Value {
    let mut random = fastrand::Rng::with_seed(version);
    let mut word = || -> String { (0..9).map(|_| random.alphanumeric()).collect() };
    let mut list = Vec::new();
    for _ in 0..routes {
        list.push(json!({
            "name": word(), "host": format!("{}.example", word()),
            "prefix": format!("/{}/", word()), "retry_safety": "resumable-stream",
            "timeout_ms": 15_000, "objective_ms": 2_000, "priority": 1,
            "model_sizes": [word(), word(), word()], "service": word(), "max_attempts": 3,
            "public": false, "prefix_affinity": true, "max_gap_ms": 1_000,
        }));
    }
    json!({ "version": version, "routes": list })
}

/// Returns an address on which nothing listens. Each instance has an IP address of its own, as the
/// connections of the others take ports of the usual one.
fn unused_addr(number: usize) -> SocketAddr {
    let listener = TcpListener::bind(format!("127.0.1.{}:0", number + 1)).unwrap();
    listener.local_addr().unwrap()
}

/// Puts an instance behind a link that carries 10 Mbit/s, and returns its address there.
pub fn sound_link(_: usize, listen: SocketAddr) -> SocketAddr {
    slow_link::start(listen, LINK_BYTES_PER_S)
}

/// Starts a fleet of which some instances watch the store, each behind a link, and waits until it is
/// complete.
pub fn start_fleet_behind(
    store: &MemoryStore,
    instances: usize,
    watchers: usize,
    link: impl Fn(usize, SocketAddr) -> SocketAddr,
) -> Vec<Instance> {
    let mut fleet = Vec::new();
    for number in 0..instances {
        let listen = unused_addr(number);
        let peer_addr = link(number, listen);
        let connection = StoreConnection::to(store);
        let name = format!("i{number}");
        fleet.push(Instance::start_behind(
            &name,
            connection,
            listen,
            peer_addr,
            |settings| settings.watchers(4, watchers).gossip_interval_ms(400),
        ));
    }
    eventually("every instance sees all", || {
        let sees_all = |instance: &Instance| instance.handle.members().load().len() == instances;
        fleet.iter().all(sees_all)
    });
    // Watches that started before the fleet was complete end by themselves.
    std::thread::sleep(super::MAX_WATCH_WAIT + Duration::from_millis(500));
    fleet
}
