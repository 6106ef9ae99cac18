//! Tests of the state that an instance builds from the store, also across outages.

mod common;

use std::time::{Duration, Instant};

use common::{Instance, MemoryStore, entry, eventually};
use serde_json::json;

#[test]
fn invalid_entries_add_no_endpoint_and_leave_others_alone() {
    let store = MemoryStore::default();
    store.write("endpoints/good", entry("v1"));
    store.write("endpoints/empty", json!({}));
    store.write("endpoints/number", json!(7));
    store.write("endpoints/typed", json!({ "service": 1, "version": [] }));
    let instance = Instance::start("a", &store);
    eventually("the valid endpoint is listed", || {
        instance.endpoints() == ["endpoints/good"]
    });
    store.write("endpoints/good", json!("spoilt"));
    eventually("the invalid entry is removed", || {
        instance.endpoints().is_empty()
    });
    store.write("endpoints/good", entry("v1"));
    eventually("the endpoint is listed again", || {
        instance.endpoints().len() == 1
    });
    instance.handle.shutdown();
}

#[test]
fn leaving_endpoints_receive_no_requests() {
    let store = MemoryStore::default();
    store.write("endpoints/e", entry("v1"));
    let instance = Instance::start("a", &store);
    eventually("the endpoint is listed", || instance.endpoints().len() == 1);
    store.write(
        "endpoints/e",
        json!({ "service": "app", "version": "v1", "leaving": true }),
    );
    eventually("the leaving endpoint is excluded", || {
        instance.endpoints().is_empty()
    });
    instance.handle.shutdown();
}

/// Kiosk hunt-e3b5-27 and seats trouble-1, seed 786348110982: the removal was treated as an expiry
/// in an outage because calls about another feed failed.
#[test]
fn a_removal_takes_effect_at_once_while_only_other_feeds_fail() {
    let store = MemoryStore::default();
    store.write("endpoints/e", entry("v1"));
    let instance = Instance::start("a", &store);
    eventually("the endpoint is listed", || instance.endpoints().len() == 1);
    instance.connection.set_unavailable("shifts/", true);
    instance.connection.set_unavailable("instances/", true);
    std::thread::sleep(Duration::from_millis(400));
    let removed = Instant::now();
    store.remove("endpoints/e");
    eventually("the endpoint is removed", || {
        instance.endpoints().is_empty()
    });
    assert!(removed.elapsed() < Duration::from_millis(500));
    instance.handle.shutdown();
}

#[test]
fn endpoints_whose_entries_expire_in_an_outage_are_kept_for_less_than_two_seconds() {
    let store = MemoryStore::default();
    store.write("endpoints/back", entry("v1"));
    store.write("endpoints/gone", entry("v1"));
    let instance = Instance::start("a", &store);
    eventually("both endpoints are listed", || {
        instance.endpoints().len() == 2
    });
    instance.connection.set_all_unavailable(true);
    std::thread::sleep(Duration::from_millis(600));
    store.remove("endpoints/back");
    store.remove("endpoints/gone");
    instance.connection.set_all_unavailable(false);
    let returned = Instant::now();
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(instance.endpoints().len(), 2, "kept for the grace period");
    store.write("endpoints/back", entry("v1"));
    eventually("the missing endpoint is removed", || {
        instance.endpoints() == ["endpoints/back"]
    });
    assert!(returned.elapsed() < Duration::from_millis(3_000));
    instance.handle.shutdown();
}

/// review/findings/mix-307: an endpoint that left while an instance paused after its last failed call
/// was kept from the next call on.
#[test]
fn an_endpoint_that_leaves_before_the_first_call_after_an_outage_is_removed_in_time() {
    let store = MemoryStore::default();
    store.write("endpoints/e", entry("v1"));
    let instance = Instance::start("a", &store);
    eventually("the endpoint is listed", || instance.endpoints().len() == 1);
    instance.connection.set_unavailable("endpoints/", true);
    let failed_calls = || instance.connection.failed_calls("endpoints/");
    // By then the pauses are 700 to 1,400 ms long.
    eventually("calls have failed", || failed_calls() >= 5);
    let before = failed_calls();
    eventually("a call has just failed", || failed_calls() > before);
    instance.connection.set_unavailable("endpoints/", false);
    let left = Instant::now();
    store.remove("endpoints/e");
    eventually("the endpoint is removed", || {
        instance.endpoints().is_empty()
    });
    // 2,000 ms are allowed; the rest is for a busy machine, and less than the shortest pause.
    let kept = left.elapsed();
    assert!(kept < Duration::from_millis(2_400), "kept for {kept:?}");
    instance.handle.shutdown();
}

#[test]
fn an_older_or_unreadable_configuration_does_not_replace_the_current_one() {
    let store = MemoryStore::default();
    let instance = Instance::start("a", &store);
    assert_eq!(instance.version(), None);
    store.write("config/main", json!({ "version": 7 }));
    eventually("configuration in force", || instance.version() == Some(7));
    eventually("requests accepted", || instance.view.load().accepting);
    store.write("config/main", json!({ "routes": "none" }));
    store.write("config/main", json!({ "version": 5 }));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(instance.version(), Some(7));
    store.write("config/main", json!({ "version": 9 }));
    eventually("the next configuration in force", || {
        instance.version() == Some(9)
    });
    instance.handle.shutdown();
}

/// Incident inc-79bf: the first call after an outage was a watch that waited for 10 s, and for all
/// that time the store counted as unavailable.
#[test]
fn recovery_of_the_store_is_detected_before_any_object_changes() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let instance = Instance::start("a", &store);
    eventually("the store is available", || {
        instance.version() == Some(1) && !instance.view.load().store_unreachable
    });
    instance.connection.set_all_unavailable(true);
    eventually("the store is unavailable", || {
        instance.view.load().store_unreachable
    });
    std::thread::sleep(Duration::from_millis(300));
    instance.connection.set_all_unavailable(false);
    let returned = Instant::now();
    eventually("the store is available again", || {
        !instance.view.load().store_unreachable
    });
    assert!(returned.elapsed() < Duration::from_millis(1_800));
    instance.handle.shutdown();
}
