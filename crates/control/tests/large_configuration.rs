//! Tests of large configurations in a fleet whose links are slow.

mod common;

use std::time::{Duration, Instant};

use common::slow_fleet::{APPLY_TIMEOUT, configuration, sound_link, start_fleet_behind};
use common::{Instance, MemoryStore, entry, eventually, slow_link};
use serde_json::json;

const INSTANCES: usize = 13;

/// Starts a fleet of which one instance watches the store, and waits until it is complete.
fn start_fleet(store: &MemoryStore) -> Vec<Instance> {
    start_fleet_behind(store, INSTANCES, 1, sound_link)
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
    let fleet = start_fleet_behind(&store, INSTANCES, 4, |number, listen| {
        if number < LOSSY {
            slow_link::start_lossy(listen, LOSSY_BYTES_PER_S)
        } else {
            sound_link(number, listen)
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

/// Guards against a configuration that comes into force only after it has been checked.
#[test]
fn a_check_does_not_delay_the_configuration() {
    const CHECK_MS: u64 = 2_500;
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let instance = Instance::start("a", &store);
    eventually("the first version is in force", || {
        instance.version() == Some(1)
    });
    let written = Instant::now();
    store.write("config/main", json!({ "version": 2, "check_ms": CHECK_MS }));
    eventually("the second version is in force", || {
        instance.version() == Some(2)
    });
    let elapsed = written.elapsed();
    assert!(elapsed < Duration::from_millis(CHECK_MS), "{elapsed:?}");
    instance.handle.shutdown();
}
