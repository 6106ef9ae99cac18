//! Instances of another fleet at addresses that are held for those of this one.

mod common;

use std::time::Duration;

use common::{Instance, MemoryStore, StoreConnection, eventually};
use control::Settings;
use serde_json::json;

/// Enough time to probe an absent instance several times.
const REJOIN_TIME: Duration = Duration::from_secs(4);

/// Starts an instance with a store that holds a configuration of this version.
fn start(fleet: &str, version: u64, adjust: impl Fn(Settings) -> Settings) -> Instance {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": version }));
    Instance::start_with("i", StoreConnection::to(&store), |settings| {
        adjust(settings.fleet(fleet))
    })
}

fn members(instance: &Instance) -> usize {
    instance.handle.members().load().len()
}

#[test]
fn an_instance_of_another_fleet_at_a_configured_address_is_no_member() {
    let other = start("new", 2, |settings| settings);
    let instance = start("old", 1, |settings| settings.peers(&[other.peer_addr]));
    std::thread::sleep(REJOIN_TIME);
    let instances = [&instance, &other];
    assert_eq!(instances.map(members), [1, 1]);
    assert_eq!(instances.map(Instance::version), [Some(1), Some(2)]);
    instance.handle.shutdown();
    other.handle.shutdown();
}

#[test]
fn an_instance_without_the_name_of_its_fleet_joins_one_with_it() {
    let named = start("f", 1, |settings| settings);
    let unnamed = start("", 1, |settings| settings.peers(&[named.peer_addr]));
    eventually("each sees the other", || {
        members(&unnamed) == 2 && members(&named) == 2
    });
    unnamed.handle.shutdown();
    named.handle.shutdown();
}
