//! Endpoint selection by load, zone, health and prompt prefix.

use limits::{Candidate, Health, PlacementError, place};

const IDLE: Candidate = Candidate {
    load: 0.0,
    slots: 64,
    latency_ratio: 1.0,
    same_zone: true,
    health: Health::Usable,
    affinity: None,
    has_capacity: true,
};

fn select(candidates: &[Candidate]) -> Result<usize, PlacementError> {
    place(candidates, &mut fastrand::Rng::with_seed(7))
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
        let index = place(&candidates, &mut random).unwrap();
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
