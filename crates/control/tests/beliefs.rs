//! What an instance believes while entries come and go and the store is away.

mod common;

use std::time::{Duration, Instant};

use common::{Instance, Shelves, entry, eventually};
use serde_json::json;

#[test]
fn entries_of_any_content_name_no_endpoint_and_harm_no_other() {
    let shelves = Shelves::default();
    shelves.write("endpoints/good", entry("v1"));
    shelves.write("endpoints/empty", json!({}));
    shelves.write("endpoints/number", json!(7));
    shelves.write("endpoints/typed", json!({ "service": 1, "version": [] }));
    let instance = Instance::start("a", &shelves);
    eventually("the good one is known", || {
        instance.endpoints() == ["endpoints/good"]
    });
    shelves.write("endpoints/good", json!("spoilt"));
    eventually("the spoilt one is gone", || instance.endpoints().is_empty());
    shelves.write("endpoints/good", entry("v1"));
    eventually("it is back", || instance.endpoints().len() == 1);
    instance.handle.shutdown();
}

#[test]
fn leaving_endpoints_take_no_work() {
    let shelves = Shelves::default();
    shelves.write("endpoints/e", entry("v1"));
    let instance = Instance::start("a", &shelves);
    eventually("known", || instance.endpoints().len() == 1);
    shelves.write(
        "endpoints/e",
        json!({ "service": "app", "version": "v1", "leaving": true }),
    );
    eventually("leaving", || instance.endpoints().is_empty());
    instance.handle.shutdown();
}

/// Kiosk hunt-e3b5-27 and seats trouble-1, seed 786348110982: the removal counted as a lapse since
/// another feed was away.
#[test]
fn a_removal_counts_at_once_while_only_other_feeds_are_away() {
    let shelves = Shelves::default();
    shelves.write("endpoints/e", entry("v1"));
    let instance = Instance::start("a", &shelves);
    eventually("known", || instance.endpoints().len() == 1);
    instance.way.set_away("shifts/", true);
    instance.way.set_away("instances/", true);
    std::thread::sleep(Duration::from_millis(400));
    let removed = Instant::now();
    shelves.remove("endpoints/e");
    eventually("gone", || instance.endpoints().is_empty());
    assert!(removed.elapsed() < Duration::from_millis(500));
    instance.handle.shutdown();
}

#[test]
fn entries_that_lapse_in_an_outage_are_kept_for_less_than_two_seconds() {
    let shelves = Shelves::default();
    shelves.write("endpoints/back", entry("v1"));
    shelves.write("endpoints/gone", entry("v1"));
    let instance = Instance::start("a", &shelves);
    eventually("known", || instance.endpoints().len() == 2);
    instance.way.set_all_away(true);
    std::thread::sleep(Duration::from_millis(600));
    shelves.remove("endpoints/back");
    shelves.remove("endpoints/gone");
    instance.way.set_all_away(false);
    let returned = Instant::now();
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(instance.endpoints().len(), 2, "kept for a moment");
    shelves.write("endpoints/back", entry("v1"));
    eventually("the missing one is gone", || {
        instance.endpoints() == ["endpoints/back"]
    });
    assert!(returned.elapsed() < Duration::from_millis(3_000));
    instance.handle.shutdown();
}

#[test]
fn the_configuration_only_moves_forward_and_survives_an_unreadable_one() {
    let shelves = Shelves::default();
    let instance = Instance::start("a", &shelves);
    assert_eq!(instance.version(), None);
    shelves.write("config/main", json!({ "version": 7 }));
    eventually("in force", || instance.version() == Some(7));
    eventually("accepts", || instance.view.load().accepting);
    shelves.write("config/main", json!({ "routes": "none" }));
    shelves.write("config/main", json!({ "version": 5 }));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(instance.version(), Some(7));
    shelves.write("config/main", json!({ "version": 9 }));
    eventually("the next one", || instance.version() == Some(9));
    instance.handle.shutdown();
}

/// Incident inc-79bf: the first call after an outage was a watch, which waited for 10 s, and all that
/// time the store counted as away.
#[test]
fn the_return_of_the_store_is_noticed_before_anything_changes_there() {
    let shelves = Shelves::default();
    shelves.write("config/main", json!({ "version": 1 }));
    let instance = Instance::start("a", &shelves);
    eventually("the store is there", || {
        instance.version() == Some(1) && !instance.view.load().store_unreachable
    });
    instance.way.set_all_away(true);
    eventually("the store is away", || {
        instance.view.load().store_unreachable
    });
    std::thread::sleep(Duration::from_millis(300));
    instance.way.set_all_away(false);
    let returned = Instant::now();
    eventually("the store is back", || {
        !instance.view.load().store_unreachable
    });
    assert!(returned.elapsed() < Duration::from_millis(1_800));
    instance.handle.shutdown();
}
