//! Leaving endpoints, and configuration changes received only from peers.

mod common;

use std::time::Duration;

use common::changes::{edit, send_chat};
use common::{Fleet, Load, wait_until};
use fakes::{EndpointFault, EndpointFaults};
use kernel::Verdict;
use serde_json::json;
use trial::{Deployment, TrafficMix};

/// The time after which a leaving endpoint must get no new requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);

/// Marks an endpoint as leaving, in the platform's list or by its own refusal.
fn mark_leaving(fleet: &Fleet, how: &str) {
    fleet.backends.state.faults.change(|set| match how {
        "the list says so" => set.leaving.push("gate/gate-1".to_owned()),
        "it refuses" => {
            let faults = EndpointFaults {
                fault: EndpointFault::Leaving,
                calls: 1,
                slow_ms: 0,
            };
            set.endpoints.insert("gate-1".to_owned(), faults);
        }
        other => unreachable!("{other}"),
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests_after_a_few_seconds() {
    for how in ["the list says so", "it refuses"] {
        let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
        let mix = TrafficMix {
            service: 1.0,
            stream: 0.0,
            keyed: 1.0,
        };
        let load = Load {
            seed: 12,
            calls: 700,
            pause_ms: 8,
            mix,
        };
        let mut left_ms = 0;
        fleet.calls_during(load, |fleet| {
            std::thread::sleep(Duration::from_millis(300));
            left_ms = kernel::Clock::wall_ms(&kernel::SystemClock::new());
            mark_leaving(fleet, how);
            std::thread::sleep(Duration::from_millis(1_500));
            // The list no longer reports it and the endpoint answers again; it must stay out of use.
            fleet.backends.state.faults.change(|set| {
                set.leaving.clear();
                set.endpoints.clear();
            });
        });
        let runs = fleet.backends.state.runs.all();
        let late = runs
            .iter()
            .filter(|run| run.endpoint == "gate-1")
            .map(|run| run.started_ms.saturating_sub(left_ms));
        let late = late.max().unwrap_or(0);
        println!("{how}: last new request {late} ms after");
        assert!(
            u128::from(late) < LEAVING_TIMEOUT.as_millis(),
            "{how}: new request {late} ms after"
        );
        let before = runs.iter().filter(|run| run.endpoint == "gate-1").count();
        assert!(before > 0, "{how}: the endpoint got no request before");
    }
}

#[test]
fn declared_changes_reach_instances_cut_off_from_the_store() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.cut_off = vec!["entry-2".to_owned(), "entry-3".to_owned()]);
    let revision = edit(&fleet, "config/spec/workspace/bir-hospital", |value| {
        value["quota_per_s"] = json!(0.0)
    });
    wait_until("the change is in force", || {
        fleet
            .entries
            .iter()
            .all(|entry| entry.status()["revision"].as_u64() >= Some(revision))
    });
    for entry in &fleet.entries {
        let reply = send_chat(entry.http_addr);
        assert_eq!(reply, (429, Some(Verdict::NotRun)), "{}", entry.name);
    }
}
