//! Tests of large configurations in a fleet whose links are slow.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{Instance, MemoryStore, StoreConnection, entry, eventually, slow_link};
use serde_json::{Value, json};

const INSTANCES: usize = 13;

/// 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// The time within which a configuration must be in force on the large deployments.
const APPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Returns a configuration of about a quarter of a kilobyte a route.
fn configuration(version: u64, routes: usize) -> Value {
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

/// Starts a fleet of which one instance watches the store, and waits until it is complete.
fn start_fleet(store: &MemoryStore) -> Vec<Instance> {
    let link = |_, listen| slow_link::start(listen, LINK_BYTES_PER_S);
    start_fleet_behind(store, 1, link)
}

/// Starts a fleet of which some instances watch the store, each behind a link, and waits until it is
/// complete.
fn start_fleet_behind(
    store: &MemoryStore,
    watchers: usize,
    link: impl Fn(usize, SocketAddr) -> SocketAddr,
) -> Vec<Instance> {
    let mut fleet = Vec::new();
    for number in 0..INSTANCES {
        let listen = common::free_addr();
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
        let sees_all = |instance: &Instance| instance.handle.members().load().len() == INSTANCES;
        fleet.iter().all(sees_all)
    });
    // Watches that started before the fleet was complete end by themselves.
    std::thread::sleep(common::MAX_WATCH_WAIT + Duration::from_millis(500));
    fleet
}

/// The time within which a leaving endpoint must get no more requests there.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Incident inc1 of shrestha-kiosk-grown.
#[test]
fn a_large_configuration_is_in_force_in_time_over_slow_links() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_fleet(&store);
    for (version, routes) in [(2, 1_400), (3, 2_800)] {
        let document = configuration(version, routes);
        let written = Instant::now();
        store.write("config/main", document);
        eventually("every instance has the configuration", || {
            fleet
                .iter()
                .all(|instance| instance.version() == Some(version))
        });
        let elapsed = written.elapsed();
        assert!(elapsed < APPLY_TIMEOUT, "version {version}: {elapsed:?}");
    }
    for instance in fleet {
        instance.handle.shutdown();
    }
}

/// The same incident: requests reached an endpoint that had said that it leaves.
#[test]
fn an_endpoint_that_leaves_beside_a_large_configuration_is_known_in_time() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    store.write("endpoints/e", entry("v1"));
    let fleet = start_fleet(&store);
    eventually("every instance has the endpoint", || {
        fleet.iter().all(|instance| instance.endpoints().len() == 1)
    });
    store.write("config/main", configuration(2, 2_800));
    let mut leaving = entry("v1");
    leaving["leaving"] = true.into();
    store.write("endpoints/e", leaving);
    let written = Instant::now();
    eventually("no instance uses the endpoint", || {
        fleet.iter().all(|instance| instance.endpoints().is_empty())
    });
    let elapsed = written.elapsed();
    assert!(elapsed < DRAIN_TIMEOUT, "{elapsed:?}");
    for instance in fleet {
        instance.handle.shutdown();
    }
}

/// Issue 43: a fetch stayed with the peer that it began with while others held the value.
#[test]
fn instances_on_sound_links_do_not_wait_for_a_peer_on_a_lossy_one() {
    const LOSSY: usize = 4;
    const LOSSY_BYTES_PER_S: f64 = 55_000.0;
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_fleet_behind(&store, 4, |number, listen| {
        if number < LOSSY {
            slow_link::start_lossy(listen, LOSSY_BYTES_PER_S)
        } else {
            slow_link::start(listen, LINK_BYTES_PER_S)
        }
    });
    for (version, routes) in [(2, 2_800), (3, 2_800), (4, 4_200)] {
        store.write("config/main", configuration(version, routes));
        let written = Instant::now();
        eventually(
            "every instance on a sound link has the configuration",
            || {
                fleet[LOSSY..]
                    .iter()
                    .all(|instance| instance.version() == Some(version))
            },
        );
        let elapsed = written.elapsed();
        assert!(elapsed < APPLY_TIMEOUT, "version {version}: {elapsed:?}");
    }
    for instance in fleet {
        instance.handle.shutdown();
    }
}
