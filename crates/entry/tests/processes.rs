//! Six processes under kills, pauses, planned stops and store outages.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, Load, PATIENCE, until};
use kernel::{Priority, Verdict};
use rustix::process::Signal;
use trial::{Audit, CallKind, CallOutcome, CallRecord, CallSpec, Deployment, TrafficMix};

fn load(seed: u64, calls: usize) -> Load {
    Load {
        seed,
        calls,
        pause_ms: 8,
        mix: TrafficMix::default(),
    }
}

/// Checks the whole record of a run.
fn audit(fleet: &Fleet, records: &[CallRecord]) -> Audit {
    let audit = fleet.audit(records);
    assert!(audit.is_clean(), "{audit:#?}");
    audit
}

#[test]
fn six_processes_serve_both_deployments() {
    for deployment in [Deployment::Shrestha, Deployment::Authority] {
        let mut fleet = Fleet::start(deployment, 6, 1);
        let records = fleet.calls_during(load(1, 150), |_| {});
        let audit = audit(&fleet, &records);
        assert_eq!(audit.answered, 150, "{audit:#?}");
    }
}

#[test]
fn killed_instances_lose_and_double_nothing() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 3);
    let records = fleet.calls_during(load(2, 250), |fleet| {
        for index in [1, 3] {
            std::thread::sleep(Duration::from_millis(500));
            fleet.entries[index].kill();
        }
    });
    fleet.entries.remove(3);
    fleet.entries.remove(1);
    audit(&fleet, &records);
}

#[test]
fn a_paused_instance_that_resumes_doubles_nothing() {
    let mut fleet = Fleet::start(Deployment::Authority, 6, 3);
    let records = fleet.calls_during(load(3, 250), |fleet| {
        std::thread::sleep(Duration::from_millis(300));
        fleet.entries[0].signal(Signal::STOP);
        fleet.entries[2].signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(2_500));
        fleet.entries[0].signal(Signal::CONT);
        fleet.entries[2].signal(Signal::CONT);
    });
    fleet.wait_converged();
    audit(&fleet, &records);
}

#[test]
fn replacing_all_six_in_turn_cuts_nothing() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 5);
    let records = fleet.calls_during(load(4, 900), |fleet| {
        for _ in 0..6 {
            fleet.add();
            let mut old = fleet.entries.remove(0);
            old.signal(Signal::TERM);
            assert!(old.wait(), "a planned stop did not end well");
            fleet.list();
        }
    });
    audit(&fleet, &records);
    let cut: Vec<&CallRecord> = records
        .iter()
        .filter(|record| record.outcome != CallOutcome::Answered)
        .collect();
    assert!(cut.is_empty(), "{cut:#?}");
}

#[test]
fn urgent_work_goes_on_while_the_store_is_out() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = true);
    let mix = TrafficMix {
        service: 1.0,
        stream: 0.0,
        keyed: 1.0,
    };
    let records = fleet.calls_during(
        Load {
            mix,
            ..load(5, 200)
        },
        |_| {},
    );
    let answered = records
        .iter()
        .filter(|record| record.outcome == CallOutcome::Answered)
        .count();
    println!(
        "urgent share served with the store out: {answered} of {}",
        records.len()
    );
    assert_eq!(answered, records.len());
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = false);
    audit(&fleet, &records);
}

#[test]
fn receipts_survive_their_home_in_a_store_outage() {
    let mut fleet = Fleet::start(Deployment::Authority, 6, 1);
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = true);
    let records = fleet.calls_during(load(6, 120), |_| {});
    fleet.entries[0].kill();
    fleet.entries.remove(0);
    fleet.entries[2].kill();
    fleet.entries.remove(2);
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = false);
    audit(&fleet, &records);
}

#[test]
fn a_planned_stop_in_a_store_outage_loses_no_receipt() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
    let records = fleet.calls_during(load(7, 150), |fleet| {
        std::thread::sleep(Duration::from_millis(200));
        fleet
            .farm
            .state
            .faults
            .change(|set| set.platform.down = true);
        let mut old = fleet.entries.remove(0);
        old.signal(Signal::TERM);
        assert!(old.wait());
    });
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = false);
    audit(&fleet, &records);
}

#[test]
fn lost_answers_to_writes_bill_nothing_twice() {
    let mut fleet = Fleet::start(Deployment::Authority, 6, 1);
    let records = fleet.calls_during(load(8, 200), |fleet| {
        for _ in 0..8 {
            fleet
                .farm
                .state
                .faults
                .change(|set| set.platform.lose_answers = 5);
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    audit(&fleet, &records);
}

#[test]
fn a_settler_that_was_paused_settles_nothing_twice() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
    let records = fleet.calls_during(load(9, 240), |fleet| {
        // Whoever settles is among those paused in turn, in the middle of its work.
        for index in 0..6 {
            fleet.entries[index].signal(Signal::STOP);
            std::thread::sleep(Duration::from_millis(1_400));
            fleet.entries[index].signal(Signal::CONT);
        }
    });
    fleet.wait_converged();
    audit(&fleet, &records);
}

#[test]
fn an_instance_that_starts_in_a_store_outage_learns_from_its_peers() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = true);
    fleet.add();
    fleet.wait_converged();
    let revision = fleet.entries[0].status()["revision"].clone();
    until("the new instance has the configuration", || {
        fleet.entries[3].status()["revision"] == revision
    });
    // One that reaches neither the store nor a peer never serves.
    let mut lone = Fleet::start(Deployment::Shrestha, 0, 1);
    lone.farm
        .state
        .faults
        .change(|set| set.platform.down = true);
    lone.add();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(lone.entries[0].status()["serving"], false);
    let spec = CallSpec {
        kind: CallKind::Chat,
        workspace: "hotel-1".into(),
        target: "visitor".to_owned(),
        priority: Priority::Normal,
        class: "default",
        keyed: false,
        session: None,
    };
    let record = smol::block_on(lone.caller(0).call(spec));
    let refused = matches!(
        record.outcome,
        CallOutcome::Failed(Verdict::NotRun, _) | CallOutcome::Lost(_)
    );
    assert!(refused, "{record:?}");
    assert!(lone.farm.state.runs.all().is_empty());
}

#[test]
fn an_instance_that_hears_nobody_takes_no_new_work_until_it_does() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet
        .farm
        .state
        .faults
        .change(|set| set.platform.down = true);
    for entry in &fleet.entries[1..] {
        entry.signal(Signal::STOP);
    }
    let alone = &fleet.entries[0];
    until("the instance notices", || {
        alone.status()["serving"] == false
    });
    let caller = trial::Caller::new(vec![alone.http_addr], "thamel");
    let spec = CallSpec {
        kind: CallKind::Chat,
        workspace: "hotel-1".into(),
        target: "visitor".to_owned(),
        priority: Priority::Normal,
        class: "default",
        keyed: false,
        session: None,
    };
    let record = smol::block_on(caller.call(spec.clone()));
    let refused = matches!(
        record.outcome,
        CallOutcome::Failed(Verdict::NotRun, _) | CallOutcome::Lost(_)
    );
    assert!(refused, "{record:?}");
    assert!(fleet.farm.state.runs.all().is_empty());
    for entry in &fleet.entries[1..] {
        entry.signal(Signal::CONT);
    }
    fleet.wait_converged();
    let record = smol::block_on(fleet.caller(0).call(spec));
    assert_eq!(record.outcome, CallOutcome::Answered);
}

#[test]
fn a_settler_writes_over_no_other_settler() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 3, 0);
    let world = fleet.farm.state.clone();
    let path = "statements/hotel-1/0";
    world.faults.change(|set| set.platform.slow_ms = 60);
    let mut written = 0;
    let records = fleet.calls_during(load(10, 200), |_| {
        // Another settler changes the statement between this one's reads and writes.
        let end = Instant::now() + PATIENCE;
        while written < 40 {
            assert!(Instant::now() < end, "only {written} writes in time");
            std::thread::sleep(Duration::from_millis(45));
            let Ok(object) = world.objects.get(path) else {
                continue;
            };
            let mut value = object.value.unwrap();
            value["too_late"] = (value["too_late"].as_u64().unwrap() + 1).into();
            written += u64::from(
                world
                    .objects
                    .put(path, value, store::Precondition::Revision(object.revision))
                    .is_ok(),
            );
        }
    });
    world.faults.change(|set| set.platform.slow_ms = 0);
    audit(&fleet, &records);
    let statement = world.objects.get(path).unwrap().value.unwrap();
    assert_eq!(
        statement["too_late"], written,
        "a settler wrote over another"
    );
}

#[test]
fn an_instance_whose_death_is_old_news_comes_back() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet.entries[1].signal(Signal::STOP);
    until("the others take it for dead", || {
        let members =
            |entry: &common::EntryProcess| entry.status()["members"].as_array().map_or(0, Vec::len);
        members(&fleet.entries[0]) == 2 && members(&fleet.entries[2]) == 2
    });
    // The news of its death is passed on a bounded number of times, and then no more.
    std::thread::sleep(Duration::from_secs(4));
    fleet.entries[1].signal(Signal::CONT);
    fleet.wait_converged();
}
