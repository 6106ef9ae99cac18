//! What instances learn of and from one another.

mod common;

use common::{Instance, Shelves, Way, entry, eventually};
use serde_json::json;

fn knows(instance: &Instance, count: usize) -> bool {
    let members = instance.handle.members();
    let members = members.load();
    members
        .iter()
        .filter(|member| member.accepts_requests())
        .count()
        == count
}

#[test]
fn an_instance_that_the_store_turns_away_hears_from_its_peers() {
    let shelves = Shelves::default();
    shelves.write("config/main", json!({ "version": 1 }));
    let near = Instance::start("near", &shelves);
    let away = Instance::start("away", &shelves);
    eventually("both know both", || knows(&near, 2) && knows(&away, 2));
    away.way.set_all_away(true);
    shelves.write("config/main", json!({ "version": 2 }));
    shelves.write("endpoints/e", entry("v1"));
    eventually("heard of the configuration", || away.version() == Some(2));
    eventually("heard of the endpoint", || away.endpoints().len() == 1);
    shelves.remove("endpoints/e");
    eventually("heard of the removal", || away.endpoints().is_empty());
    near.handle.shutdown();
    away.handle.shutdown();
}

#[test]
fn leaving_and_dead_instances_are_left_out() {
    let shelves = Shelves::default();
    let stays = Instance::start("stays", &shelves);
    let leaves = Instance::start("leaves", &shelves);
    eventually("both know both", || knows(&stays, 2) && knows(&leaves, 2));
    leaves.handle.leave();
    eventually("the leaving one is left out", || knows(&stays, 1));
    assert!(!leaves.view.load().accepting);
    assert_eq!(shelves.value("instances/leaves"), None);
    leaves.handle.shutdown();
    let dies = Instance::start("dies", &shelves);
    eventually("the new one is known", || knows(&stays, 2));
    // The thread ends without a word to the store or to peers.
    dies.way.set_all_away(true);
    dies.handle.shutdown();
    eventually("the dead one is left out", || knows(&stays, 1));
    eventually("its entry is removed", || {
        shelves.value("instances/dies").is_none()
    });
    stays.handle.shutdown();
}

#[test]
fn an_instance_that_starts_while_the_store_is_away_accepts_nothing() {
    let way = Way::default();
    way.set_all_away(true);
    way.shelves.write("config/main", json!({ "version": 1 }));
    let instance = Instance::start_over("a", way);
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(!instance.view.load().accepting);
    instance.way.set_all_away(false);
    eventually("in force", || instance.version() == Some(1));
    // The endpoints are listed by a call of their own.
    eventually("accepts", || instance.view.load().accepting);
    instance.handle.shutdown();
}

#[test]
fn a_version_without_trouble_takes_over_within_its_time() {
    let shelves = Shelves::default();
    shelves.write("endpoints/old", entry("v1"));
    shelves.write("endpoints/new", entry("v2"));
    let instance = Instance::start("a", &shelves);
    eventually("known", || instance.endpoints().len() == 2);
    shelves.write("rollouts/app", json!({ "service": "app", "target": "v2" }));
    let state = |expected: &str| {
        let status = shelves.value("rollouts/app/status");
        status.is_some_and(|status| status["state"] == *expected)
    };
    eventually("running", || state("running"));
    let view = instance.view.load();
    assert!(view.pools["app"].rollout.is_some());
    instance.handle.shutdown();
}

/// Soak seed 599337997502: a way to the store that was silent for a while left a watch without an answer,
/// which nothing but its own limit ends.
#[test]
fn an_instance_whose_watches_went_silent_hears_from_its_peers() {
    let shelves = Shelves::default();
    shelves.write("config/main", json!({ "version": 1 }));
    let near = Instance::start("near", &shelves);
    let deaf = Instance::start("deaf", &shelves);
    eventually("both know both", || knows(&near, 2) && knows(&deaf, 2));
    eventually("in force", || deaf.version() == Some(1));
    deaf.way
        .silent
        .store(true, std::sync::atomic::Ordering::Relaxed);
    std::thread::sleep(std::time::Duration::from_millis(200));
    shelves.write("endpoints/e", entry("v1"));
    let written = std::time::Instant::now();
    eventually("heard of it", || deaf.endpoints().len() == 1);
    assert!(written.elapsed() < std::time::Duration::from_millis(2_000));
    near.handle.shutdown();
    deaf.handle.shutdown();
}

/// In a large fleet a few watch, and the others hear of each change from peers.
#[test]
fn few_watch_in_a_large_fleet_and_all_hear_of_changes() {
    const INSTANCES: usize = 12;
    let shelves = Shelves::default();
    shelves.write("config/main", json!({ "version": 1 }));
    let mut fleet = Vec::new();
    for number in 0..INSTANCES {
        let way = Way {
            shelves: shelves.clone(),
            ..Way::default()
        };
        let name = format!("i{number}");
        fleet.push(Instance::start_with(&name, way, |settings| {
            settings.watchers(4, 2)
        }));
    }
    eventually("all know all", || {
        fleet.iter().all(|instance| knows(instance, INSTANCES))
    });
    // Watches that began before the fleet was known end by themselves.
    std::thread::sleep(common::LONGEST_WAIT + std::time::Duration::from_millis(500));
    let before: Vec<u64> = fleet.iter().map(calls).collect();
    shelves.write("endpoints/e", entry("v1"));
    let written = std::time::Instant::now();
    eventually("all heard", || {
        fleet.iter().all(|instance| instance.endpoints().len() == 1)
    });
    assert!(written.elapsed() < std::time::Duration::from_millis(2_000));
    std::thread::sleep(std::time::Duration::from_millis(500));
    let asked = fleet
        .iter()
        .zip(before)
        .filter(|(instance, before)| calls(instance) > *before);
    assert!(asked.count() <= 3, "only those that watch call the store");
    for instance in fleet {
        instance.handle.shutdown();
    }
}

/// Kiosk-grown: 79 instances that start at the same time all began to watch, and did so again after
/// all had lost power.
#[test]
fn instances_that_join_a_large_fleet_do_not_begin_to_watch() {
    const INSTANCES: usize = 12;
    let shelves = Shelves::default();
    shelves.write("config/main", json!({ "version": 1 }));
    let start = |number: usize, peers: &[std::net::SocketAddr]| {
        let way = Way {
            shelves: shelves.clone(),
            ..Way::default()
        };
        Instance::start_with(&format!("i{number}"), way, |settings| {
            settings.watchers(4, 2).peers(peers)
        })
    };
    let mut fleet = vec![start(0, &[])];
    for number in 1..INSTANCES {
        let peer = fleet[0].peer_addr;
        fleet.push(start(number, &[peer]));
    }
    eventually("all know all", || {
        fleet.iter().all(|instance| knows(instance, INSTANCES))
    });
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let listed = control::Feed::ALL.len() as u64;
    let counts: Vec<u64> = fleet.iter().map(calls).collect();
    let watching = counts.iter().filter(|count| **count > listed).count();
    assert!(watching <= 3, "the first one and two others, {counts:?}");
    for instance in fleet {
        instance.handle.shutdown();
    }
}

fn calls(instance: &Instance) -> u64 {
    instance
        .way
        .calls
        .load(std::sync::atomic::Ordering::Relaxed)
}
