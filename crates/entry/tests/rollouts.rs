//! Roll-outs over several processes: good versions advance, bad ones stop, and stopped or withdrawn
//! ones stay so.

mod common;

use std::time::Duration;

use common::{Fleet, Load, wait_until};
use fakes::EndpointFaults;
use rustix::process::Signal;
use serde_json::{Value, json};
use store::Precondition;
use trial::{Deployment, TrafficMix};

const STATUS_PATH: &str = "config/status/rollout/visitor-s2";

const SPEC_PATH: &str = "config/spec/rollout/visitor-s2";

/// The declared limit on unrated requests in the first step of the roll-out.
const MAX_UNRATED: usize = 24;

fn status(fleet: &Fleet) -> Value {
    let object = fleet.backends.state.objects.get(STATUS_PATH);
    object
        .ok()
        .and_then(|object| object.value)
        .unwrap_or(Value::Null)
}

fn edit(fleet: &Fleet, change: impl FnOnce(&mut Value)) {
    let object = fleet.backends.state.objects.get(SPEC_PATH).unwrap();
    let mut value = object.value.unwrap();
    change(&mut value);
    let revision = fleet
        .backends
        .state
        .objects
        .put(SPEC_PATH, value, Precondition::Any)
        .unwrap();
    fleet.wait_revision(revision);
}

fn load(seed: u64, calls: usize) -> Load {
    Load {
        seed,
        calls,
        pause_ms: 3,
        mix: TrafficMix {
            service: 0.0,
            stream: 0.3,
            keyed: 0.3,
        },
    }
}

fn runs_of(fleet: &Fleet, version: &str) -> usize {
    fleet
        .backends
        .state
        .runs
        .all()
        .iter()
        .filter(|run| run.target == version)
        .count()
}

fn start(steps: &Value) -> Fleet {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 0);
    edit(&fleet, |value| {
        value["min_step_ms"] = json!(200);
        value["steps"] = steps.clone();
    });
    // All chat calls go to the version that the roll-out replaces.
    let path = "config/spec/policy/target";
    let mut policy = fleet
        .backends
        .state
        .objects
        .get(path)
        .unwrap()
        .value
        .unwrap();
    policy["plugin"] = json!("always-cheapest");
    fleet.wait_revision(
        fleet
            .backends
            .state
            .objects
            .put(path, policy, Precondition::Any)
            .unwrap(),
    );
    wait_until("the roll-out begins", || {
        status(&fleet)["phase"] == "running"
    });
    fleet
}

#[test]
fn a_good_version_goes_through_all_steps_unless_paused() {
    let mut fleet = start(&json!([0.3, 0.6, 1.0]));
    fleet
        .backends
        .state
        .faults
        .change(|set| set.set_quality("visitor-s2", 1.0));
    edit(&fleet, |value| value["paused"] = json!(true));
    fleet.calls_during(load(21, 300), |_| {});
    assert_eq!(status(&fleet)["step"], 0, "a paused roll-out advanced");
    edit(&fleet, |value| value["paused"] = json!(false));
    for seed in 22..40 {
        fleet.calls_during(load(seed, 250), |_| {});
        if status(&fleet)["phase"] == "done" {
            return;
        }
    }
    panic!("not done: {}", status(&fleet));
}

#[test]
fn a_bad_version_is_stopped_for_its_defect() {
    for (what, expected_reason) in [("quality", "rated bad"), ("failures", "failed calls")] {
        let mut fleet = start(&json!([0.5]));
        fleet.backends.state.faults.change(|set| match what {
            "quality" => set.set_quality("visitor-s2", 0.1),
            _ => set.set_quality("visitor-s2", 1.0),
        });
        // Only the new version must fail, so it is moved to a pool of its own.
        if what == "failures" {
            move_to_failing_engines(&fleet);
        }
        let mut seed = 40;
        while status(&fleet)["phase"] != "stopped" {
            fleet.calls_during(load(seed, 150), |_| {});
            seed += 1;
            assert!(seed < 60, "{what}: not stopped: {}", status(&fleet));
        }
        assert!(
            status(&fleet)["reason"]
                .as_str()
                .unwrap()
                .contains(expected_reason),
            "{what}: {}",
            status(&fleet)
        );
        let reached = runs_of(&fleet, "visitor-s2");
        println!("{what}: {reached} calls reached the version");
        let revision = fleet
            .backends
            .state
            .objects
            .get(STATUS_PATH)
            .unwrap()
            .revision;
        fleet.wait_revision(revision);
        let before = runs_of(&fleet, "visitor-s2");
        fleet.calls_during(load(90, 100), |_| {});
        assert_eq!(
            runs_of(&fleet, "visitor-s2"),
            before,
            "{what}: new request after the stop"
        );
    }
}

/// Moves the new version to a pool whose only endpoint answers with errors.
fn move_to_failing_engines(fleet: &Fleet) {
    let objects = &fleet.backends.state.objects;
    let mut pool = objects
        .get("config/spec/pool/runners-small")
        .unwrap()
        .value
        .unwrap();
    pool["name"] = "runners-new".into();
    let last = pool["endpoints"]
        .as_array()
        .unwrap()
        .last()
        .unwrap()
        .clone();
    pool["endpoints"] = json!([last]);
    objects
        .put("config/spec/pool/runners-new", pool, Precondition::Absent)
        .unwrap();
    let old = "config/spec/pool/runners-small";
    let mut pool = objects.get(old).unwrap().value.unwrap();
    pool["endpoints"].as_array_mut().unwrap().pop();
    objects.put(old, pool, Precondition::Any).unwrap();
    let path = "config/spec/version/visitor-s2";
    let mut version = objects.get(path).unwrap().value.unwrap();
    version["pool"] = "runners-new".into();
    let revision = objects.put(path, version, Precondition::Any).unwrap();
    fleet.wait_revision(revision);
    fleet.backends.state.faults.change(|set| {
        let faults = EndpointFaults {
            fault: fakes::EndpointFault::ErrorAfterRun,
            calls: 0,
            slow_ms: 0,
        };
        set.endpoints.insert("runners-small-6".to_owned(), faults);
    });
}

#[test]
fn unrated_requests_on_an_unproven_version_stay_within_the_cap() {
    let mut fleet = start(&json!([1.0]));
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.rating_lag_ms = 600_000);
    fleet.calls_during(load(70, 400), |_| {});
    let reached = runs_of(&fleet, "visitor-s2");
    assert!(
        reached > 0 && reached <= MAX_UNRATED,
        "{reached} unrated requests"
    );
}

#[test]
fn a_paused_controller_that_resumes_does_not_rewrite_a_stopped_roll_out() {
    let mut fleet = start(&json!([0.5]));
    fleet
        .backends
        .state
        .faults
        .change(|set| set.set_quality("visitor-s2", 0.0));
    // All instances are paused in turn, so that the controlling one is paused while another decides.
    for index in 0..3 {
        fleet.calls_during(load(80 + index as u64, 20), |_| {});
        fleet.entries[index].signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(1_600));
        fleet.entries[index].signal(Signal::CONT);
        fleet.wait_converged();
    }
    let mut seed = 85;
    while status(&fleet)["phase"] != "stopped" {
        fleet.calls_during(load(seed, 150), |_| {});
        seed += 1;
        assert!(seed < 100, "not stopped: {}", status(&fleet));
    }
    let stopped = fleet.backends.state.objects.get(STATUS_PATH).unwrap();
    fleet.calls_during(load(101, 150), |_| {});
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(
        fleet.backends.state.objects.get(STATUS_PATH).unwrap(),
        stopped,
        "a stopped roll-out was written again"
    );
}

#[test]
fn a_stale_order_is_refused_or_harmless() {
    let mut fleet = start(&json!([0.5]));
    let orders = fleet.backends.state.orders.all();
    let loaded = orders
        .iter()
        .filter(|order| order.version == "visitor-s2" && order.obeyed)
        .count();
    assert!(
        loaded >= 6,
        "the roll-out began before its version was loaded: {orders:?}"
    );
    let path = "config/spec/version/visitor-s2";
    let mut version = fleet
        .backends
        .state
        .objects
        .get(path)
        .unwrap()
        .value
        .unwrap();
    version["state"] = json!("withdrawn");
    let revision = fleet
        .backends
        .state
        .objects
        .put(path, version, Precondition::Any)
        .unwrap();
    fleet.wait_revision(revision);
    // A controller that was paused before it sent an order sends it now, after a newer one.
    let log = &fleet.backends.state.orders;
    assert!(log.submit("checks", "visitor-s3", revision, true));
    assert!(
        !log.submit("checks", "visitor-s2", orders[0].fencing, true),
        "an old order was obeyed"
    );
    assert!(log.submit("ignores", "visitor-s3", revision, false));
    assert!(log.submit("ignores", "visitor-s2", orders[0].fencing, false));
    let before = runs_of(&fleet, "visitor-s2");
    fleet.calls_during(load(110, 120), |_| {});
    assert_eq!(
        runs_of(&fleet, "visitor-s2"),
        before,
        "a loaded version that is withdrawn got requests"
    );
}

#[test]
fn a_controller_with_a_stale_status_changes_nothing() {
    let mut fleet = start(&json!([0.5, 1.0]));
    let fake_state = fleet.backends.state.clone();
    fake_state
        .faults
        .change(|set| set.set_quality("visitor-s2", 1.0));
    // No instance sees the stop, like a controller that was paused.
    fake_state.objects.capture_stale_list();
    fake_state.faults.change(|set| {
        set.platform.stale_list = true;
        set.platform.expire_watches = true;
    });
    let mut stopped = status(&fleet);
    stopped["phase"] = json!("stopped");
    fake_state
        .objects
        .put(STATUS_PATH, stopped, Precondition::Any)
        .unwrap();
    let written = fake_state.objects.get(STATUS_PATH).unwrap();
    // Enough good ratings to pass a step several times over.
    for seed in 120..126 {
        fleet.calls_during(load(seed, 200), |_| {});
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        fake_state.objects.get(STATUS_PATH).unwrap(),
        written,
        "a decision on a stale status took effect"
    );
}
