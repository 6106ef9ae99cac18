//! Tests of a store that comes back from an older copy, so that its revisions go back.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{
    Instance, MAX_WATCH_WAIT, MemoryStore, StoreConnection, StoreCopy, entry, eventually,
};
use control::Settings;
use serde_json::json;

/// The time within which a configuration must be in force on the small deployments.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

fn start_fleet(store: &MemoryStore) -> Vec<Instance> {
    let fleet: Vec<Instance> = (0..3)
        .map(|number| Instance::start(&format!("i{number}"), store))
        .collect();
    eventually("every instance sees all", || {
        let sees_all = |instance: &Instance| instance.handle.members().load().len() == 3;
        fleet.iter().all(sees_all)
    });
    fleet
}

fn wait_for_version(fleet: &[Instance], version: u64) {
    let began = Instant::now();
    eventually("the configuration is in force", || {
        let has_it = |instance: &Instance| instance.version() == Some(version);
        fleet.iter().all(has_it)
    });
    assert!(began.elapsed() < APPLY_TIMEOUT, "version {version} is late");
}

/// Returns a copy of the store from before four further versions, which all instances apply.
fn copy_then_change(store: &MemoryStore, fleet: &[Instance]) -> StoreCopy {
    let copy = store.copy();
    for version in 2..6 {
        store.write("config/main", json!({ "version": version }));
        wait_for_version(fleet, version);
    }
    copy
}

fn shutdown(fleet: Vec<Instance>) {
    for instance in fleet {
        instance.handle.shutdown();
    }
}

/// Writes so many objects that the store's revision passes those that were given out before.
fn pass_earlier_revisions(store: &MemoryStore) {
    for number in 0..20 {
        store.write(&format!("other/{number}"), json!({}));
    }
}

/// Letter 5: instances that knew a later revision took nothing until the numbers were reached again.
#[test]
fn changes_after_the_store_went_back_are_in_force_in_time() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_fleet(&store);
    wait_for_version(&fleet, 1);
    let copy = copy_then_change(&store, &fleet);
    store.restore(&copy);
    std::thread::sleep(Duration::from_millis(300));
    store.write("config/main", json!({ "version": 6 }));
    wait_for_version(&fleet, 6);
    store.write("config/main", json!({ "version": 7 }));
    wait_for_version(&fleet, 7);
    shutdown(fleet);
}

/// As above, when the numbers are reached before an instance looks.
#[test]
fn an_era_shows_that_the_store_went_back_although_revisions_have_passed() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_fleet(&store);
    wait_for_version(&fleet, 1);
    let copy = copy_then_change(&store, &fleet);
    for instance in &fleet {
        instance.connection.set_silent(true);
    }
    store.restore(&copy);
    store.write("config/main", json!({ "version": 6 }));
    pass_earlier_revisions(&store);
    std::thread::sleep(Duration::from_millis(900));
    for instance in &fleet {
        instance.connection.set_silent(false);
    }
    wait_for_version(&fleet, 6);
    shutdown(fleet);
}

/// Starts instances of which two watch the store, and waits until watches that began before the fleet was
/// complete have ended.
fn start_large_fleet(store: &MemoryStore, instances: usize) -> Vec<Instance> {
    let start = |number: usize, peers: &[SocketAddr]| {
        let connection = StoreConnection::to(store);
        let adjust = |settings: Settings| settings.watchers(4, 2).first_start(true).peers(peers);
        Instance::start_with(&format!("i{number}"), connection, adjust)
    };
    let mut fleet = vec![start(0, &[])];
    for number in 1..instances {
        fleet.push(start(number, &[fleet[0].peer_addr]));
    }
    eventually("every instance sees all", || {
        let sees_all = |instance: &Instance| instance.handle.members().load().len() == instances;
        fleet.iter().all(sees_all)
    });
    std::thread::sleep(MAX_WATCH_WAIT + Duration::from_millis(500));
    fleet
}

fn set_store_away(fleet: &[Instance]) {
    for instance in fleet {
        instance.connection.set_all_unavailable(true);
    }
}

/// How much earlier some instances reach the store again than others, as their pauses between calls vary.
const RETURN_DELAY: Duration = Duration::from_millis(400);

/// Lets instances reach the store again, those in `first` before the others.
fn return_store(fleet: &[Instance], first: &[usize]) {
    for number in first {
        fleet[*number].connection.set_all_unavailable(false);
    }
    std::thread::sleep(RETURN_DELAY);
    for instance in fleet {
        instance.connection.set_all_unavailable(false);
    }
}

/// Returns the instances that make no calls to the store.
fn non_watchers(fleet: &[Instance]) -> Vec<usize> {
    let calls = |instance: &Instance| instance.connection.calls.load(Ordering::Relaxed);
    let before: Vec<u64> = fleet.iter().map(calls).collect();
    std::thread::sleep(Duration::from_millis(100));
    let is_calm = |number: &usize| calls(&fleet[*number]) == before[*number];
    (0..fleet.len()).filter(is_calm).collect()
}

/// As above, where most instances do not watch the store.
#[test]
fn instances_that_do_not_watch_learn_from_peers_that_the_store_went_back() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_large_fleet(&store, 8);
    let copy = copy_then_change(&store, &fleet);
    store.restore(&copy);
    store.write("config/main", json!({ "version": 6 }));
    wait_for_version(&fleet, 6);
    shutdown(fleet);
}

/// Issue 59, CONFIG: an instance that started while the store was away kept what peers gave it, offered it
/// as of the new era, and no instance took a change until the numbers were reached again.
#[test]
fn an_instance_that_starts_while_the_store_is_away_keeps_nothing_of_the_earlier_era() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let mut fleet = start_fleet(&store);
    let copy = copy_then_change(&store, &fleet);
    pass_earlier_revisions(&store);
    store.write("config/main", json!({ "version": 6 }));
    wait_for_version(&fleet, 6);
    set_store_away(&fleet);
    let connection = StoreConnection::to(&store);
    connection.set_all_unavailable(true);
    let peer_addr = fleet[0].peer_addr;
    let adjust = |settings: Settings| settings.peers(&[peer_addr]);
    fleet.push(Instance::start_with("i3", connection, adjust));
    wait_for_version(&fleet, 6);
    store.restore(&copy);
    store.write("config/main", json!({ "version": 6 }));
    return_store(&fleet, &[3]);
    std::thread::sleep(APPLY_TIMEOUT);
    for version in 7..9 {
        store.write("config/main", json!({ "version": version }));
        wait_for_version(&fleet, version);
    }
    shutdown(fleet);
}

/// Guards against the same in a large fleet, whose watchers change while the store is away, and which sees
/// it go back twice.
#[test]
fn new_watchers_of_a_large_fleet_keep_nothing_of_an_earlier_era() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_large_fleet(&store, 14);
    let mut version = 1;
    for _ in 0..2 {
        let copy = store.copy();
        for _ in 0..8 {
            version += 1;
            store.write("config/main", json!({ "version": version }));
        }
        pass_earlier_revisions(&store);
        version += 1;
        store.write("config/main", json!({ "version": version }));
        wait_for_version(&fleet, version);
        let others = non_watchers(&fleet);
        assert!(!others.is_empty());
        set_store_away(&fleet);
        std::thread::sleep(Duration::from_millis(1_350));
        store.restore(&copy);
        store.write("config/main", json!({ "version": version }));
        return_store(&fleet, &others);
        std::thread::sleep(APPLY_TIMEOUT);
        version += 1;
        store.write("config/main", json!({ "version": version }));
        wait_for_version(&fleet, version);
    }
    shutdown(fleet);
}

/// Guards against a large configuration that peers get as it was at the same revision of the earlier era.
#[test]
fn a_revision_that_is_given_out_again_brings_the_new_value_to_peers() {
    let large = |version: u64| json!({ "version": version, "padding": "x".repeat(16 << 10) });
    let store = MemoryStore::default();
    store.write("config/main", large(1));
    let fleet = start_large_fleet(&store, 8);
    let copy = store.copy();
    store.write("config/main", large(2));
    wait_for_version(&fleet, 2);
    set_store_away(&fleet);
    store.restore(&copy);
    store.write("config/main", large(3));
    return_store(&fleet, &[]);
    wait_for_version(&fleet, 3);
    shutdown(fleet);
}

#[test]
fn the_configuration_in_force_stays_while_the_store_holds_an_older_one() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_fleet(&store);
    let copy = store.copy();
    store.write("config/main", json!({ "version": 2 }));
    wait_for_version(&fleet, 2);
    store.restore(&copy);
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(fleet.iter().all(|instance| instance.version() == Some(2)));
    shutdown(fleet);
}

#[test]
fn endpoints_are_those_of_the_copy_and_of_what_is_written_again() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    store.write("endpoints/kept", entry("v1"));
    store.write("endpoints/left", entry("v1"));
    let fleet = start_fleet(&store);
    let copy = store.copy();
    store.remove("endpoints/left");
    store.write("endpoints/new", entry("v1"));
    let lists = |names: &[&str]| fleet.iter().all(|instance| instance.endpoints() == names);
    eventually("the changes are known", || {
        lists(&["endpoints/kept", "endpoints/new"])
    });
    store.restore(&copy);
    eventually("the copy is known", || {
        lists(&["endpoints/kept", "endpoints/left"])
    });
    store.remove("endpoints/left");
    store.write("endpoints/new", entry("v1"));
    eventually("what is written again is known", || {
        lists(&["endpoints/kept", "endpoints/new"])
    });
    shutdown(fleet);
}

#[test]
fn the_entries_of_instances_are_written_again() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let copy = store.copy();
    let fleet = start_fleet(&store);
    let count = || {
        let is_listed = |number: &usize| store.value(&format!("instances/i{number}")).is_some();
        (0..3).filter(is_listed).count()
    };
    eventually("every instance has an entry", || count() == 3);
    store.restore(&copy);
    assert_eq!(count(), 0);
    eventually("every instance has an entry again", || count() == 3);
    shutdown(fleet);
}

/// Issue 59, DRAIN: an endpoint that had reported that it leaves took requests again when an older copy
/// listed it as before, also if its entry was gone in between.
#[test]
fn an_endpoint_that_leaves_does_not_return_with_an_older_copy() {
    for is_gone in [false, true] {
        let run = |born: u64| json!({ "service": "app", "version": "v1", "born": born });
        let store = MemoryStore::default();
        store.write("config/main", json!({ "version": 1 }));
        store.write("endpoints/leaves", run(1));
        store.write("endpoints/stays", run(1));
        let fleet = start_fleet(&store);
        let lists = |names: &[&str]| fleet.iter().all(|instance| instance.endpoints() == names);
        eventually("both are known", || {
            lists(&["endpoints/leaves", "endpoints/stays"])
        });
        let copy = store.copy();
        let mut leaving = run(1);
        leaving["leaving"] = json!(true);
        store.write("endpoints/leaves", leaving);
        eventually("one leaves", || lists(&["endpoints/stays"]));
        if is_gone {
            store.remove("endpoints/leaves");
            std::thread::sleep(Duration::from_millis(300));
        }
        store.restore(&copy);
        let until = Instant::now() + Duration::from_millis(800);
        while Instant::now() < until {
            assert!(lists(&["endpoints/stays"]), "gone: {is_gone}");
            std::thread::sleep(Duration::from_millis(5));
        }
        // A further run under the same name is another one.
        store.write("endpoints/leaves", run(2));
        eventually("the further run is known", || {
            lists(&["endpoints/leaves", "endpoints/stays"])
        });
        shutdown(fleet);
    }
}
