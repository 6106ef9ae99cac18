//! Endpoint selection by load, zone, health and prompt prefix.

use limits::{Candidate, Health, PlacementError, PromptLoad, place};

const IDLE: Candidate = Candidate {
    load: 0.0,
    slots: 64,
    latency_ratio: 1.0,
    time_ratio: None,
    same_zone: true,
    health: Health::Usable,
    affinity: None,
    has_capacity: true,
};

fn select(candidates: &[Candidate]) -> Result<usize, PlacementError> {
    let prompt = PromptLoad::default();
    let selected = place(candidates, &prompt, &mut fastrand::Rng::with_seed(7));
    selected.map(|selected| selected.index)
}

#[test]
fn selection_considers_load_latency_zone_health_and_capacity() {
    let other_zone = Candidate {
        same_zone: false,
        ..IDLE
    };
    let busy = Candidate { load: 20.0, ..IDLE };
    let slow = Candidate {
        latency_ratio: 5.0,
        slots: 6,
        ..IDLE
    };
    let fast = Candidate { slots: 6, ..IDLE };
    let ejected = Candidate {
        health: Health::Ejected,
        ..IDLE
    };
    let full = Candidate {
        has_capacity: false,
        ..IDLE
    };
    let cases = [
        ("no candidates", vec![], Err(PlacementError::NoCandidate)),
        ("all full", vec![full, full], Err(PlacementError::Full)),
        ("the one in the same zone", vec![other_zone, IDLE], Ok(1)),
        ("the least loaded one", vec![busy, IDLE], Ok(1)),
        (
            "an idle one in another zone before a busy one in the same zone",
            vec![busy, other_zone],
            Ok(1),
        ),
        ("the fast one", vec![slow, fast], Ok(1)),
        (
            "a busy one before an ejected one",
            vec![ejected, busy],
            Ok(1),
        ),
        (
            "an ejected one if no other has capacity",
            vec![full, ejected],
            Ok(1),
        ),
    ];
    for (name, candidates, expected) in cases {
        assert_eq!(select(&candidates), expected, "{name}");
    }
}

/// Simulates prompts that share prefixes, with a fixed number in flight, and counts the endpoints
/// at which each prefix is prefilled.
#[test]
fn prompts_follow_their_cached_prefix_until_its_endpoint_is_overloaded() {
    const ENDPOINTS: u64 = 9;
    const PREFIXES: u64 = 40;
    const PROMPT: PromptLoad = PromptLoad {
        new: 1.0,
        shared: 8.0,
    };
    let mut random = fastrand::Rng::with_seed(3);
    let mut load = [0.0; ENDPOINTS as usize];
    let mut in_flight = std::collections::VecDeque::new();
    let mut prefilled = std::collections::BTreeSet::new();
    for round in 0..4_000_u64 {
        // A tenth of all prompts share one prefix.
        let prefix = if round % 10 == 0 {
            0
        } else {
            random.u64(1..PREFIXES)
        };
        let weight = |index: u64| fastrand::Rng::with_seed(prefix * 100 + index).u64(..);
        let candidates: Vec<Candidate> = (0..ENDPOINTS)
            .map(|index| Candidate {
                load: load[index as usize],
                affinity: Some(weight(index)),
                ..IDLE
            })
            .collect();
        let index = place(&candidates, &PROMPT, &mut random).unwrap().index;
        prefilled.insert((prefix, index));
        load[index] += 1.0;
        in_flight.push_back(index);
        if in_flight.len() > 90 {
            load[in_flight.pop_front().unwrap()] -= 1.0;
        }
    }
    let most = load.iter().copied().fold(0.0, f64::max);
    assert!(most <= 2.5 * 90.0 / ENDPOINTS as f64, "most loaded {most}");
    let prefilled_at = prefilled.len() as f64 / PREFIXES as f64;
    assert!(
        prefilled_at <= 4.0,
        "each prefix is prefilled at {prefilled_at} endpoints"
    );
}

/// Load of a cached prefix's endpoint, and the endpoint that a prompt then goes to.
struct PrefixCase {
    name: &'static str,
    first_load: f64,
    second_load: f64,
    expected: usize,
}

/// A prompt leaves the endpoint that caches its prefix only when the wait there is longer than
/// reading the prefix again, with what that costs other requests.
#[test]
fn a_prompt_leaves_its_cached_prefix_only_if_waiting_takes_longer() {
    let prompt = PromptLoad {
        new: 3.0,
        shared: 4.0,
    };
    let cases = [
        PrefixCase {
            name: "all idle",
            first_load: 0.0,
            second_load: 0.0,
            expected: 0,
        },
        PrefixCase {
            name: "a wait shorter than the reading of half of the prefix",
            first_load: 10.0,
            second_load: 0.0,
            expected: 0,
        },
        PrefixCase {
            name: "a longer wait, to the second endpoint",
            first_load: 20.0,
            second_load: 0.0,
            expected: 1,
        },
        PrefixCase {
            name: "both busy, to one that caches nothing",
            first_load: 60.0,
            second_load: 60.0,
            expected: 2,
        },
    ];
    for case in cases {
        let loads = [case.first_load, case.second_load, 0.0, 0.0];
        let mut candidates = Vec::new();
        for (index, load) in loads.into_iter().enumerate() {
            candidates.push(Candidate {
                load,
                affinity: Some(100 - index as u64),
                same_zone: index < 3,
                ..IDLE
            });
        }
        let selected = place(&candidates, &prompt, &mut fastrand::Rng::with_seed(7)).unwrap();
        assert_eq!(selected.index, case.expected, "{}", case.name);
    }
}

/// A prompt that is being read.
struct ActivePrompt {
    instance: usize,
    engine: usize,
    load: f64,
    done_ms: f64,
}

/// Prompts of several instances on shared engines that prefill one prompt at a time.
///
/// Returns the share of prompts whose first event is late. An instance knows the loads of all, or
/// only those of its own prompts.
fn late_share(knows_all: bool) -> f64 {
    const INSTANCES: usize = 7;
    const ENGINES: usize = 18;
    const PROMPTS: usize = 20_000;
    const MEAN_GAP_MS: f64 = 4.0;
    const OBJECTIVE_MS: f64 = 300.0;
    let mut random = fastrand::Rng::with_seed(21);
    let mut free_at_ms = [0.0_f64; ENGINES];
    let mut in_flight: Vec<ActivePrompt> = Vec::new();
    let mut at_ms = 0.0;
    let mut late = 0;
    for _ in 0..PROMPTS {
        at_ms += -MEAN_GAP_MS * random.f64().max(1e-9).ln();
        in_flight.retain(|prompt| prompt.done_ms > at_ms);
        let instance = random.usize(..INSTANCES);
        let prefill_ms = if random.f64() < 0.3 { 150.0 } else { 20.0 };
        let mut candidates = vec![IDLE; ENGINES];
        for other in &in_flight {
            if knows_all || other.instance == instance {
                candidates[other.engine].load += other.load;
            }
        }
        let load = limits::RequestLoad::from_prefill_ms(prefill_ms).prefill;
        let prompt = PromptLoad {
            new: load,
            shared: 0.0,
        };
        let engine = place(&candidates, &prompt, &mut random).unwrap().index;
        let done_ms = free_at_ms[engine].max(at_ms) + prefill_ms;
        free_at_ms[engine] = done_ms;
        in_flight.push(ActivePrompt {
            instance,
            engine,
            load,
            done_ms,
        });
        late += usize::from(done_ms - at_ms > OBJECTIVE_MS);
    }
    late as f64 / PROMPTS as f64
}

#[test]
fn first_events_are_seldom_late_if_instances_know_the_loads_of_all() {
    let alone = late_share(false);
    let shared = late_share(true);
    assert!(shared < 0.01, "{shared}");
    assert!(alone > 4.0 * shared, "{alone} and {shared}");
}
