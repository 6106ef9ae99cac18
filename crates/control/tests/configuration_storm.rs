//! Tests of large configurations that follow one another in a large fleet whose links are slow.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::slow_fleet::{APPLY_TIMEOUT, configuration, sound_link, start_fleet_behind};
use common::{MemoryStore, eventually};
use serde_json::json;

/// Issue 43, the load of a storm of versions in a large fleet that loses watchers meanwhile.
#[test]
fn the_last_of_many_large_versions_is_in_force_in_time_while_watchers_lose_the_store() {
    const LARGE_FLEET: usize = 30;
    const WATCHERS: usize = 4;
    const LOST_WATCHERS: usize = 3;
    const PAUSE: Duration = Duration::from_millis(400);
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let fleet = start_fleet_behind(&store, LARGE_FLEET, WATCHERS, sound_link);
    let members = fleet[0].handle.members().load_full();
    // The first by incarnation watch.
    for member in &members[..LOST_WATCHERS] {
        let number: usize = member.name[1..].parse().unwrap();
        let stalled = &fleet[number].connection.stalled;
        stalled.store(true, Ordering::Relaxed);
    }
    let last = 7;
    for version in 2..last {
        store.write("config/main", configuration(version, 1_400));
        std::thread::sleep(PAUSE);
    }
    store.write("config/main", configuration(last, 2_800));
    let written = Instant::now();
    eventually("every instance has the last version", || {
        fleet
            .iter()
            .all(|instance| instance.version() == Some(last))
    });
    let elapsed = written.elapsed();
    assert!(elapsed < APPLY_TIMEOUT, "{elapsed:?}");
    for instance in fleet {
        instance.handle.shutdown();
    }
}
