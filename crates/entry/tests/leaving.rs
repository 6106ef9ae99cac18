//! Endpoints that leave, and changes that only peers bring.

mod common;

use std::time::Duration;

use common::changes::{ask_plain, edit};
use common::{Fleet, Load, until};
use fakes::{EndpointFault, EndpointFaults};
use kernel::Verdict;
use serde_json::json;
use trial::{Deployment, TrafficMix};

/// The time in which a leaving endpoint must get no more new work.
const FEW_SECONDS: Duration = Duration::from_secs(5);

/// How the system learns that an endpoint is leaving.
fn leave(fleet: &Fleet, how: &str) {
    fleet.farm.state.faults.change(|set| match how {
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
fn a_leaving_endpoint_gets_no_new_work_after_a_few_seconds() {
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
            leave(fleet, how);
            std::thread::sleep(Duration::from_millis(1_500));
            // The list forgets, or never knew; the endpoint answers again. It must not come back.
            fleet.farm.state.faults.change(|set| {
                set.leaving.clear();
                set.endpoints.clear();
            });
        });
        let runs = fleet.farm.state.runs.all();
        let late = runs
            .iter()
            .filter(|run| run.endpoint == "gate-1")
            .map(|run| run.started_ms.saturating_sub(left_ms));
        let late = late.max().unwrap_or(0);
        println!("{how}: last new work {late} ms after");
        assert!(
            u128::from(late) < FEW_SECONDS.as_millis(),
            "{how}: new work {late} ms after"
        );
        let before = runs.iter().filter(|run| run.endpoint == "gate-1").count();
        assert!(before > 0, "{how}: the endpoint had work before");
    }
}

#[test]
fn declared_changes_reach_an_instance_that_hears_only_peers() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.cut_off = vec!["entry-2".to_owned(), "entry-3".to_owned()]);
    let revision = edit(&fleet, "config/spec/workspace/bir-hospital", |value| {
        value["quota_per_s"] = json!(0.0)
    });
    until("the change is in force", || {
        fleet
            .entries
            .iter()
            .all(|entry| entry.status()["revision"].as_u64() >= Some(revision))
    });
    for entry in &fleet.entries {
        let reply = ask_plain(entry.http_addr);
        assert_eq!(reply, (429, Some(Verdict::NotRun)), "{}", entry.name);
    }
}
