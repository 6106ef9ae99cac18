//! Evacuations of zones, from the store to the view of each instance.

mod common;

use std::time::{Duration, Instant};

use common::{Instance, MAX_WATCH_WAIT, MemoryStore, StoreConnection, entry, eventually};
use control::Settings;
use serde_json::json;

/// The time within which no request may reach the zone any more.
const ALLOWED_MS: u64 = 5_000;

/// The zone of the instances and the endpoint.
const ORDER: &str = "evacuations/z";

fn share(instance: &Instance) -> f64 {
    let view = instance.view.load();
    let evacuation = view.evacuations.get("z");
    evacuation.map_or(0.0, |evacuation| evacuation.share(instance.now_ms()))
}

fn start(number: usize, connection: StoreConnection, fleet: &[Instance]) -> Instance {
    let peers: Vec<_> = fleet.iter().map(|peer| peer.peer_addr).collect();
    Instance::start_with(&format!("i{number}"), connection, |settings: Settings| {
        let settings = settings.evacuate_ms(Some(ALLOWED_MS)).peers(&peers);
        settings.watchers(4, 2)
    })
}

/// Starts instances that know that no zone is evacuated.
fn start_fleet(store: &MemoryStore, instances: usize) -> Vec<Instance> {
    store.write("config/main", json!({ "version": 1 }));
    store.write("endpoints/e", entry("v1"));
    let mut fleet = Vec::new();
    for number in 0..instances {
        fleet.push(start(number, StoreConnection::to(store), &fleet));
    }
    eventually("every instance sees all and accepts requests", || {
        fleet.iter().all(|instance| {
            let members = instance.handle.members().load().len();
            members == instances && instance.view.load().accepting
        })
    });
    fleet
}

/// Waits until no instance sends requests to the zone, and returns whether that was in time.
fn is_evacuated_in_time(fleet: &[Instance], ordered: Instant) -> bool {
    eventually("the zone is evacuated", || {
        fleet.iter().all(|instance| share(instance) == 1.0)
    });
    ordered.elapsed() < Duration::from_millis(ALLOWED_MS)
}

fn shut_down(fleet: Vec<Instance>) {
    for instance in fleet {
        instance.handle.shutdown();
    }
}

/// Guards against orders that are overlooked as their spec is not an object, that stay after they were
/// removed, and that end as an older copy of the store lacks a later removal.
#[test]
fn the_existence_of_an_order_counts_whatever_its_spec_holds() {
    let store = MemoryStore::default();
    let fleet = start_fleet(&store, 1);
    let ordered = Instant::now();
    store.write(ORDER, json!(null));
    store.write("evacuations/nowhere", json!({}));
    assert!(is_evacuated_in_time(&fleet, ordered));
    assert_eq!(fleet[0].view.load().evacuated_zones(), 1);
    let copy = store.copy();
    store.remove(ORDER);
    eventually("traffic returns in steps", || share(&fleet[0]) < 0.8);
    store.write(ORDER, json!("again"));
    eventually("traffic leaves again", || share(&fleet[0]) > 0.9);
    store.remove(ORDER);
    eventually("all traffic has returned", || share(&fleet[0]) == 0.0);
    store.restore(&copy);
    assert!(is_evacuated_in_time(&fleet, Instant::now()));
    shut_down(fleet);
}

/// Guards against instances that learn of an order from the store alone: one whose calls it rejects, and
/// one that starts meanwhile.
#[test]
fn an_instance_that_the_store_rejects_learns_of_orders_from_peers_also_at_its_start() {
    let store = MemoryStore::default();
    let mut fleet = start_fleet(&store, 3);
    fleet[0].connection.set_all_unavailable(true);
    std::thread::sleep(Duration::from_millis(500));
    let ordered = Instant::now();
    store.write(ORDER, json!({ "any": [1] }));
    assert!(is_evacuated_in_time(&fleet, ordered));
    let rejected = StoreConnection::to(&store);
    rejected.set_all_unavailable(true);
    for connection in [rejected, StoreConnection::to(&store)] {
        fleet.push(start(fleet.len(), connection, &fleet));
        let started = &fleet[fleet.len() - 1];
        eventually("requests accepted", || started.view.load().accepting);
        assert_eq!(share(started), 1.0, "from the first request on");
    }
    store.remove(ORDER);
    eventually("all instances send requests again", || {
        fleet.iter().all(|instance| share(instance) == 0.0)
    });
    shut_down(fleet);
}

/// Guards against non-watchers that miss an order or its end.
#[test]
fn instances_that_do_not_watch_follow_an_order_and_its_end() {
    let store = MemoryStore::default();
    let fleet = start_fleet(&store, 8);
    std::thread::sleep(MAX_WATCH_WAIT + Duration::from_millis(500));
    let ordered = Instant::now();
    store.write(ORDER, json!({}));
    assert!(is_evacuated_in_time(&fleet, ordered));
    store.remove(ORDER);
    eventually("all instances send requests again", || {
        fleet.iter().all(|instance| share(instance) == 0.0)
    });
    shut_down(fleet);
}

/// Guards against an instance that never serves as neither the store nor a peer tells it of evacuations,
/// and against calls to the store about them where they are not configured.
#[test]
fn evacuations_are_waited_for_no_longer_than_a_second_and_not_at_all_without_the_setting() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    store.write("endpoints/e", entry("v1"));
    store.write(ORDER, json!({}));
    let connection = StoreConnection::to(&store);
    connection.set_unavailable("evacuations/", true);
    let instance = start(0, connection, &[]);
    eventually("the configuration is in force", || {
        instance.version() == Some(1)
    });
    assert!(!instance.view.load().accepting);
    eventually("requests accepted", || instance.view.load().accepting);
    instance.connection.set_unavailable("evacuations/", false);
    eventually("the zone is evacuated", || share(&instance) == 1.0);
    let connection = StoreConnection::to(&store);
    // Any call about evacuations would be counted as failed.
    connection.set_unavailable("evacuations/", true);
    let unaware = Instance::start_on("unaware", connection);
    eventually("requests accepted", || unaware.view.load().accepting);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(unaware.connection.failed_calls("evacuations/"), 0);
    assert_eq!(share(&unaware), 0.0);
    shut_down(vec![instance, unaware]);
}
