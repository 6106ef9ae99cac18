//! Runs six processes with several faults at a time, drawn from a seed, and audits all calls.
//!
//! `ROSEMARY_CHAOS_SEEDS=1,2,3 cargo test -p entry --test chaos -- --nocapture` runs other seeds.

mod common;

use std::time::Duration;

use common::{Fleet, Load, wait_until};
use fakes::{EndpointFault, EndpointFaults};
use kernel::Clock;
use rustix::process::Signal;
use serde_json::json;
use store::Precondition;
use trial::{Deployment, TrafficMix};

/// The seeds used if `ROSEMARY_CHAOS_SEEDS` is not set.
const DEFAULT_SEEDS: [u64; 3] = [1, 2, 3];

/// The number of faults in one run.
const FAULT_COUNT: usize = 9;

/// The required time for a withdrawal to be in force everywhere.
const IN_FORCE_MS: u64 = 19_000;

fn seeds() -> Vec<u64> {
    match std::env::var("ROSEMARY_CHAOS_SEEDS") {
        Ok(text) => text.split(',').map(|seed| seed.parse().unwrap()).collect(),
        Err(_) => DEFAULT_SEEDS.to_vec(),
    }
}

/// A fault and, if it concerns one instance or endpoint, the index of that.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Pause,
    Replace,
    StoreDown,
    StoreSlow,
    LoseAnswers,
    StaleStore,
    CutOff(usize),
    Endpoint(EndpointFault, usize),
    Leaving(usize),
    Withdraw,
    Edit,
}

fn random_fault(random: &mut fastrand::Rng) -> Fault {
    let endpoint = random.usize(1..=3);
    match random.usize(..12) {
        0 => Fault::Kill,
        1 => Fault::Pause,
        2 => Fault::Replace,
        3 => Fault::StoreDown,
        4 => Fault::StoreSlow,
        5 => Fault::LoseAnswers,
        6 => Fault::StaleStore,
        7 => Fault::CutOff(random.usize(1..=6)),
        8 => {
            let faults = [
                EndpointFault::Refuse,
                EndpointFault::ResetAfterRun,
                EndpointFault::ErrorAfterRun,
                EndpointFault::CutHalf,
                EndpointFault::WrongId,
            ];
            Fault::Endpoint(faults[random.usize(..faults.len())], endpoint)
        }
        9 => Fault::Leaving(endpoint),
        10 => Fault::Withdraw,
        _ => Fault::Edit,
    }
}

/// The effects of the faults that the final check needs.
#[derive(Default)]
struct Effects {
    withdrawn_ms: Option<u64>,
}

fn now_ms() -> u64 {
    kernel::SystemClock::new().wall_ms()
}

fn inject_fault(
    fleet: &mut Fleet,
    fault: Fault,
    random: &mut fastrand::Rng,
    effects: &mut Effects,
) {
    let fake_state = fleet.backends.state.clone();
    match fault {
        Fault::Kill if fleet.entries.len() > 4 => {
            let index = random.usize(..fleet.entries.len());
            fleet.entries.remove(index).kill();
            fleet.list();
            if !fake_state.faults.get().platform.down {
                fleet.add();
            }
        }
        Fault::Pause => {
            let index = random.usize(..fleet.entries.len());
            fleet.entries[index].signal(Signal::STOP);
            std::thread::sleep(Duration::from_millis(random.u64(200..1_800)));
            fleet.entries[index].signal(Signal::CONT);
        }
        Fault::Replace => {
            fleet.add();
            let mut old = fleet.entries.remove(0);
            old.signal(Signal::TERM);
            assert!(old.wait(), "a planned stop ended with an error");
            fleet.list();
        }
        Fault::StoreDown => fake_state.faults.change(|set| set.platform.down = true),
        Fault::StoreSlow => fake_state.faults.change(|set| set.platform.slow_ms = 300),
        Fault::LoseAnswers => fake_state
            .faults
            .change(|set| set.platform.lose_answers = 10),
        Fault::StaleStore => {
            fake_state.objects.capture_stale_list();
            fake_state.objects.expire_history();
            fake_state
                .faults
                .change(|set| set.platform.stale_list = true);
        }
        Fault::CutOff(index) => {
            fake_state
                .faults
                .change(|set| set.platform.cut_off = vec![format!("entry-{index}")]);
        }
        Fault::Endpoint(fault, index) => fake_state.faults.change(|set| {
            let faults = EndpointFaults {
                fault,
                calls: 6,
                slow_ms: 0,
            };
            set.endpoints
                .insert(format!("gate-{index}"), faults.clone());
            set.endpoints
                .insert(format!("runners-small-{index}"), faults);
        }),
        Fault::Leaving(index) => fake_state.faults.change(|set| {
            set.leaving
                .push(format!("runners-large/runners-large-{index}"))
        }),
        Fault::Withdraw => {
            let path = "config/spec/version/visitor-s2";
            let mut value = fake_state.objects.get(path).unwrap().value.unwrap();
            value["state"] = json!("withdrawn");
            fake_state
                .objects
                .put(path, value, Precondition::Any)
                .unwrap();
            effects.withdrawn_ms.get_or_insert_with(now_ms);
        }
        Fault::Kill | Fault::Edit => {
            let path = "config/spec/policy/target";
            let mut value = fake_state.objects.get(path).unwrap().value.unwrap();
            value["sample_share"] = json!(random.f64());
            fake_state
                .objects
                .put(path, value, Precondition::Any)
                .unwrap();
        }
    }
    std::thread::sleep(Duration::from_millis(random.u64(100..700)));
    // A platform fault persists into the following faults with a probability of one half.
    if random.bool() {
        fake_state
            .faults
            .change(|set| set.platform = fakes::PlatformFaults::default());
    }
}

#[test]
fn guarantees_hold_under_concurrent_faults() {
    for seed in seeds() {
        let mut random = fastrand::Rng::with_seed(seed);
        let schedule: Vec<Fault> = (0..FAULT_COUNT)
            .map(|_| random_fault(&mut random))
            .collect();
        println!("seed {seed}: {schedule:?}");
        let mut fleet = Fleet::start(Deployment::Shrestha, 6, 3);
        let mut effects = Effects::default();
        let load = Load {
            seed,
            calls: 700,
            pause_ms: 10,
            mix: TrafficMix::default(),
        };
        let records = fleet.calls_during(load, |fleet| {
            for fault in &schedule {
                inject_fault(fleet, *fault, &mut random, &mut effects);
            }
            fleet
                .backends
                .state
                .faults
                .change(|set| set.platform = fakes::PlatformFaults::default());
        });
        wait_until("the configuration is the same everywhere", || {
            let revisions: Vec<_> = fleet
                .entries
                .iter()
                .map(|entry| entry.status()["revision"].clone())
                .collect();
            revisions.windows(2).all(|pair| pair[0] == pair[1])
        });
        let audit = fleet.audit(&records);
        let runs = fleet.backends.state.runs.all();
        println!(
            "seed {seed}: {} answered, {} not run, {} may have run",
            audit.answered, audit.refused_not_run, audit.may_have_run
        );
        assert!(audit.is_clean(), "seed {seed} {schedule:?}: {audit:#?}");
        assert!(
            audit.answered * 10 > records.len() * 9,
            "seed {seed}: most calls are answered: {audit:#?}"
        );
        if let Some(withdrawn_ms) = effects.withdrawn_ms {
            let late = runs
                .iter()
                .filter(|run| run.target == "visitor-s2")
                .map(|run| run.started_ms)
                .max();
            assert!(
                late.unwrap_or(0) < withdrawn_ms + IN_FORCE_MS,
                "seed {seed}: a withdrawn version ran after the allowed time"
            );
        }
    }
}
