//! Configuration changes and withdrawals under faults of the store, such as stale reads.

mod common;

use std::time::{Duration, Instant};

use common::changes::{edit, last_run_ms, send_chat, spec, withdraw};
use common::{Fleet, Load};
use kernel::Verdict;
use serde_json::json;
use store::Precondition;
use trial::{CallKind, CallOutcome, Deployment, TrafficMix};

/// The required time for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(19);

/// Withdraws a version under load and a fault of the store; returns the revision.
fn withdraw_under_fault(fleet: &mut Fleet, fault: &str) -> u64 {
    let fake_state = fleet.backends.state.clone();
    match fault {
        "none" => withdraw(fleet, "visitor-s1"),
        "one cut off" => {
            fake_state
                .faults
                .change(|set| set.platform.cut_off = vec!["entry-1".to_owned()]);
            withdraw(fleet, "visitor-s1")
        }
        "most cut off" => {
            let names = (1..=5).map(|index| format!("entry-{index}")).collect();
            fake_state.faults.change(|set| set.platform.cut_off = names);
            withdraw(fleet, "visitor-s1")
        }
        "old read after newer" => {
            fake_state.objects.capture_stale_list();
            let revision = withdraw(fleet, "visitor-s1");
            fleet.wait_revision(revision);
            fake_state
                .faults
                .change(|set| set.platform.stale_list = true);
            fake_state.objects.expire_history();
            revision
        }
        "watch gap" => {
            fake_state
                .faults
                .change(|set| set.platform.expire_watches = true);
            let revision = withdraw(fleet, "visitor-s1");
            fake_state.objects.expire_history();
            revision
        }
        "store out and back" => {
            fake_state.faults.change(|set| set.platform.down = true);
            std::thread::sleep(Duration::from_millis(500));
            let revision = withdraw(fleet, "visitor-s1");
            fake_state.faults.change(|set| set.platform.down = false);
            revision
        }
        "joins meanwhile" => {
            let revision = withdraw(fleet, "visitor-s1");
            fake_state.faults.change(|set| set.platform.down = true);
            fleet.add();
            revision
        }
        other => unreachable!("{other}"),
    }
}

#[test]
fn a_withdrawn_version_gets_no_new_requests_under_store_faults() {
    let faults = [
        "none",
        "one cut off",
        "most cut off",
        "old read after newer",
        "watch gap",
        "store out and back",
        "joins meanwhile",
    ];
    for fault in faults {
        let mut fleet = Fleet::start(Deployment::Shrestha, 6, 1);
        let mix = TrafficMix {
            service: 0.0,
            stream: 0.5,
            keyed: 1.0,
        };
        let load = Load {
            seed: 11,
            calls: 150,
            pause_ms: 8,
            mix,
        };
        let mut in_force_ms = 0;
        let records = fleet.calls_during(load, |fleet| {
            std::thread::sleep(Duration::from_millis(200));
            let start = Instant::now();
            let revision = withdraw_under_fault(fleet, fault);
            fleet.wait_revision(revision);
            assert!(
                start.elapsed() < IN_FORCE,
                "{fault}: in force after {:?}",
                start.elapsed()
            );
            in_force_ms = kernel::Clock::wall_ms(&kernel::SystemClock::new());
        });
        assert!(
            last_run_ms(&fleet, "visitor-s1") > 0,
            "{fault}: the version did not run before the withdrawal"
        );
        let runs = fleet.backends.state.runs.all();
        let ran = |id: &String| {
            runs.iter()
                .any(|run| run.target == "visitor-s1" && run.request.starts_with(&**id))
        };
        for record in records
            .iter()
            .filter(|record| record.started_ms > in_force_ms)
        {
            assert!(
                !record.ids.iter().any(ran),
                "{fault}: new request on the withdrawn version: {record:?}"
            );
        }
        let before = runs.iter().filter(|run| run.target == "visitor-s1").count();
        fleet.calls_during(
            Load {
                seed: 13,
                calls: 40,
                ..load
            },
            |_| {},
        );
        let after = fleet
            .backends
            .state
            .runs
            .all()
            .iter()
            .filter(|run| run.target == "visitor-s1")
            .count();
        assert_eq!(
            after, before,
            "{fault}: new request on the withdrawn version"
        );
        let refused = smol::block_on(fleet.caller(0).call(spec(CallKind::Chat, "visitor-s1")));
        let withdrawn = matches!(refused.outcome, CallOutcome::Failed(Verdict::NotRun, _));
        assert!(withdrawn, "{fault}: {refused:?}");
    }
}

#[test]
fn configuration_in_force_never_reverts() {
    let fleet = Fleet::start(Deployment::Authority, 3, 1);
    let fake_state = &fleet.backends.state;
    let mut last_seen = [0; 3];
    fake_state.objects.capture_stale_list();
    for round in 0..12 {
        let revision = edit(&fleet, "config/spec/policy/target", |value| {
            value["sample_share"] = json!(f64::from(round) / 20.0)
        });
        fake_state.faults.change(|set| {
            set.platform.stale_list = round % 3 == 0;
            set.platform.expire_watches = round % 4 == 1;
        });
        if round % 2 == 0 {
            fake_state.objects.expire_history();
        }
        for _ in 0..10 {
            for (index, entry) in fleet.entries.iter().enumerate() {
                let now = entry.status()["revision"].as_u64().unwrap();
                assert!(
                    now >= last_seen[index],
                    "{} went back from {} to {now}",
                    entry.name,
                    last_seen[index]
                );
                last_seen[index] = now;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        fake_state
            .faults
            .change(|set| set.platform = fakes::PlatformFaults::default());
        fleet.wait_revision(revision);
    }
}

#[test]
fn a_stale_read_does_not_restore_an_old_quota() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    fleet.backends.state.objects.capture_stale_list();
    let path = "config/spec/workspace/bir-hospital";
    fleet.wait_revision(edit(&fleet, path, |value| {
        value["quota_per_s"] = json!(0.0)
    }));
    fleet.backends.state.faults.change(|set| {
        set.platform.stale_list = true;
        set.platform.expire_watches = true;
    });
    fleet.backends.state.objects.expire_history();
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        for entry in &fleet.entries {
            let reply = send_chat(entry.http_addr);
            assert_eq!(
                reply,
                (429, Some(Verdict::NotRun)),
                "{} reverted",
                entry.name
            );
        }
    }
}

#[test]
fn concurrent_edits_of_one_object_conflict() {
    let fleet = Fleet::start(Deployment::Authority, 3, 1);
    let path = "config/spec/policy/best";
    let object = fleet.backends.state.objects.get(path).unwrap();
    let expect = Precondition::Revision(object.revision);
    let first = fleet.backends.state.objects.put(
        path,
        json!({ "name": "best", "plugin": "always-best", "sample_share": 0.3 }),
        expect,
    );
    let second = fleet.backends.state.objects.put(
        path,
        json!({ "name": "best", "plugin": "random-mix" }),
        expect,
    );
    assert_eq!(second, Err(store::StoreError::Conflict));
    fleet.wait_revision(first.unwrap());
}

#[test]
fn an_invalid_object_leaves_the_last_valid_one_in_force() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    let revision = edit(&fleet, "config/spec/workspace/bir-hospital", |value| {
        value["quota_per_s"] = json!("many")
    });
    fleet.wait_revision(revision);
    let rejected = fleet.entries[0].status()["rejected"][0]
        .as_str()
        .unwrap()
        .to_owned();
    assert!(
        rejected.contains("bir-hospital") && rejected.contains("quota_per_s"),
        "{rejected}"
    );
    let record = smol::block_on(fleet.caller(0).call(spec(CallKind::Chat, "visitor")));
    assert_eq!(record.outcome, CallOutcome::Answered);
}

#[test]
fn a_cascade_does_not_escalate_to_a_version_withdrawn_during_its_first_step() {
    let mut fleet = Fleet::start(Deployment::Shrestha, 3, 300);
    let path = "config/spec/policy/target";
    let revision = edit(&fleet, path, |value| {
        value["plugin"] = json!("fixed-cascade")
    });
    fleet.wait_revision(revision);
    let mix = TrafficMix {
        service: 0.0,
        stream: 0.0,
        keyed: 0.0,
    };
    let load = Load {
        seed: 31,
        calls: 40,
        pause_ms: 1,
        mix,
    };
    let mut in_force_ms = 0;
    // The first step takes 12 tokens of 300 ms each; the withdrawal happens during it.
    let records = fleet.calls_during(load, |fleet| {
        std::thread::sleep(Duration::from_millis(200));
        let revision = withdraw(fleet, "visitor-l1");
        fleet.wait_revision(revision);
        in_force_ms = kernel::Clock::wall_ms(&kernel::SystemClock::new());
    });
    let late = last_run_ms(&fleet, "visitor-l1").saturating_sub(in_force_ms);
    assert!(
        late < 100,
        "the second step ran {late} ms after the withdrawal was in force"
    );
    let answered = records
        .iter()
        .filter(|record| record.outcome == CallOutcome::Answered)
        .count();
    assert_eq!(
        answered,
        records.len(),
        "the first step's answer was not kept: {records:#?}"
    );
}

#[test]
fn expiring_watches_do_not_exhaust_the_read_rate_limit() {
    let fleet = Fleet::start(Deployment::Authority, 3, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.expire_watches = true);
    std::thread::sleep(Duration::from_millis(500));
    let reads =
        |entry: &common::EntryProcess| entry.status()["platform"]["reads"].as_u64().unwrap();
    let before: Vec<u64> = fleet.entries.iter().map(reads).collect();
    std::thread::sleep(Duration::from_millis(1_500));
    for (entry, before) in fleet.entries.iter().zip(before) {
        let since = reads(entry) - before;
        // Two reads for each pause of at least 100 ms, plus those of settlement and the instance list.
        assert!(since < 60, "{} made {since} reads in 1.5 s", entry.name);
    }
}
