//! Several processes under kills, pauses, planned stops and store outages.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, Load, WAIT_TIMEOUT, wait_until};
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

/// Audits all calls of a run and expects no violation.
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
fn killed_instances_lose_and_duplicate_nothing() {
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
fn a_paused_instance_that_resumes_duplicates_nothing() {
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
fn a_rolling_replacement_aborts_no_request() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 5);
    let records = fleet.calls_during(load(4, 900), |fleet| {
        for _ in 0..6 {
            fleet.add();
            let mut old = fleet.entries.remove(0);
            old.signal(Signal::TERM);
            assert!(old.wait(), "a planned stop ended with an error");
            fleet.list();
        }
    });
    audit(&fleet, &records);
    let unanswered: Vec<&CallRecord> = records
        .iter()
        .filter(|record| record.outcome != CallOutcome::Answered)
        .collect();
    assert!(unanswered.is_empty(), "{unanswered:#?}");
}

#[test]
fn urgent_requests_are_served_in_a_store_outage() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
    fleet
        .backends
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
        "urgent requests answered in a store outage: {answered} of {}",
        records.len()
    );
    assert_eq!(answered, records.len());
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = false);
    audit(&fleet, &records);
}

#[test]
fn receipts_survive_the_loss_of_their_instance_in_a_store_outage() {
    let mut fleet = Fleet::start(Deployment::Authority, 6, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = true);
    let records = fleet.calls_during(load(6, 120), |_| {});
    fleet.entries[0].kill();
    fleet.entries.remove(0);
    fleet.entries[2].kill();
    fleet.entries.remove(2);
    fleet
        .backends
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
            .backends
            .state
            .faults
            .change(|set| set.platform.down = true);
        let mut old = fleet.entries.remove(0);
        old.signal(Signal::TERM);
        assert!(old.wait());
    });
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = false);
    audit(&fleet, &records);
}

#[test]
fn lost_replies_to_writes_bill_nothing_twice() {
    let mut fleet = Fleet::start(Deployment::Authority, 6, 1);
    let records = fleet.calls_during(load(8, 200), |fleet| {
        for _ in 0..8 {
            fleet
                .backends
                .state
                .faults
                .change(|set| set.platform.lose_answers = 5);
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    audit(&fleet, &records);
}

#[test]
fn a_paused_settler_that_resumes_settles_nothing_twice() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
    let records = fleet.calls_during(load(9, 240), |fleet| {
        // All instances are paused in turn, so that the settling one is paused during its work.
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
fn an_instance_started_in_a_store_outage_gets_its_configuration_from_peers() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = true);
    fleet.add();
    fleet.wait_converged();
    let revision = fleet.entries[0].status()["revision"].clone();
    wait_until("the new instance has the configuration", || {
        fleet.entries[3].status()["revision"] == revision
    });
    // An instance that reaches neither the store nor a peer never serves.
    let mut isolated = Fleet::start(Deployment::Shrestha, 0, 1);
    isolated
        .backends
        .state
        .faults
        .change(|set| set.platform.down = true);
    isolated.add();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(isolated.entries[0].status()["serving"], false);
    let spec = CallSpec {
        kind: CallKind::Chat,
        workspace: "hotel-1".into(),
        target: "visitor".to_owned(),
        priority: Priority::Normal,
        class: "default",
        keyed: false,
        session: None,
    };
    let record = smol::block_on(isolated.caller(0).call(spec));
    let refused = matches!(
        record.outcome,
        CallOutcome::Failed(Verdict::NotRun, _) | CallOutcome::Lost(_)
    );
    assert!(refused, "{record:?}");
    assert!(isolated.backends.state.runs.all().is_empty());
}

#[test]
fn an_isolated_instance_refuses_new_requests_until_it_reconnects() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = true);
    for entry in &fleet.entries[1..] {
        entry.signal(Signal::STOP);
    }
    let isolated = &fleet.entries[0];
    wait_until("the isolated instance stops serving", || {
        isolated.status()["serving"] == false
    });
    let caller = trial::Caller::new(vec![isolated.http_addr], "thamel");
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
    assert!(fleet.backends.state.runs.all().is_empty());
    for entry in &fleet.entries[1..] {
        entry.signal(Signal::CONT);
    }
    fleet.wait_converged();
    let record = smol::block_on(fleet.caller(0).call(spec));
    assert_eq!(record.outcome, CallOutcome::Answered);
}

#[test]
fn settlers_do_not_overwrite_each_other() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 3, 0);
    let fake_state = fleet.backends.state.clone();
    let path = "statements/hotel-1/0";
    fake_state.faults.change(|set| set.platform.slow_ms = 60);
    let mut written = 0;
    let records = fleet.calls_during(load(10, 200), |_| {
        // Simulates another settler that changes the statement between a settler's read and write.
        let end = Instant::now() + WAIT_TIMEOUT;
        while written < 40 {
            assert!(Instant::now() < end, "only {written} writes in time");
            std::thread::sleep(Duration::from_millis(45));
            let Ok(object) = fake_state.objects.get(path) else {
                continue;
            };
            let mut value = object.value.unwrap();
            value["too_late"] = (value["too_late"].as_u64().unwrap() + 1).into();
            written += u64::from(
                fake_state
                    .objects
                    .put(path, value, store::Precondition::Revision(object.revision))
                    .is_ok(),
            );
        }
    });
    fake_state.faults.change(|set| set.platform.slow_ms = 0);
    audit(&fleet, &records);
    let statement = fake_state.objects.get(path).unwrap().value.unwrap();
    assert_eq!(
        statement["too_late"], written,
        "a settler overwrote the change of another"
    );
}

#[test]
fn an_instance_declared_dead_rejoins_after_the_update_is_no_longer_sent() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet.entries[1].signal(Signal::STOP);
    wait_until("the others declare it dead", || {
        let members =
            |entry: &common::EntryProcess| entry.status()["members"].as_array().map_or(0, Vec::len);
        members(&fleet.entries[0]) == 2 && members(&fleet.entries[2]) == 2
    });
    // The update that declares it dead is gossiped a bounded number of times; wait until that ends.
    std::thread::sleep(Duration::from_secs(4));
    fleet.entries[1].signal(Signal::CONT);
    fleet.wait_converged();
}
