//! Where requests go, under the loads that the choice answers.

use limits::{Candidate, Health, PlacementError, place};

const USUAL: Candidate = Candidate {
    load: 0.0,
    slots: 64,
    latency_ratio: 1.0,
    same_zone: true,
    health: Health::Usable,
    affinity: None,
    has_capacity: true,
};

fn chosen(candidates: &[Candidate]) -> Result<usize, PlacementError> {
    place(candidates, &mut fastrand::Rng::with_seed(7))
}

#[test]
fn each_thing_that_is_known_counts() {
    let far = Candidate {
        same_zone: false,
        ..USUAL
    };
    let busy = Candidate {
        load: 20.0,
        ..USUAL
    };
    let slow = Candidate {
        latency_ratio: 5.0,
        slots: 6,
        ..USUAL
    };
    let quick = Candidate { slots: 6, ..USUAL };
    let ejected = Candidate {
        health: Health::Ejected,
        ..USUAL
    };
    let full = Candidate {
        has_capacity: false,
        ..USUAL
    };
    let cases = [
        ("nobody", vec![], Err(PlacementError::NoCandidate)),
        ("all full", vec![full, full], Err(PlacementError::Full)),
        ("the near one", vec![far, USUAL], Ok(1)),
        ("the idle one", vec![busy, USUAL], Ok(1)),
        (
            "a far idle one before a near busy one",
            vec![busy, far],
            Ok(1),
        ),
        ("the quick one", vec![slow, quick], Ok(1)),
        ("one that does not fail", vec![ejected, busy], Ok(1)),
        ("one that fails before none", vec![full, ejected], Ok(1)),
    ];
    for (name, candidates, expected) in cases {
        assert_eq!(chosen(&candidates), expected, "{name}");
    }
}

/// Plays prompts that share parts, each in hand for a while, and counts where each part is read.
#[test]
fn prompts_stay_where_their_parts_are_kept_until_one_place_is_not_enough() {
    const ENDPOINTS: u64 = 9;
    const PARTS: u64 = 40;
    let mut random = fastrand::Rng::with_seed(3);
    let mut load = [0.0; ENDPOINTS as usize];
    let mut in_hand = std::collections::VecDeque::new();
    let mut homes = std::collections::BTreeSet::new();
    for round in 0..4_000_u64 {
        // A tenth of all prompts share one part.
        let part = if round % 10 == 0 {
            0
        } else {
            random.u64(1..PARTS)
        };
        let weight = |index: u64| fastrand::Rng::with_seed(part * 100 + index).u64(..);
        let candidates: Vec<Candidate> = (0..ENDPOINTS)
            .map(|index| Candidate {
                load: load[index as usize],
                affinity: Some(weight(index)),
                ..USUAL
            })
            .collect();
        let index = place(&candidates, &mut random).unwrap();
        homes.insert((part, index));
        load[index] += 1.0;
        in_hand.push_back(index);
        if in_hand.len() > 90 {
            load[in_hand.pop_front().unwrap()] -= 1.0;
        }
    }
    let most = load.iter().copied().fold(0.0, f64::max);
    assert!(most <= 2.5 * 90.0 / ENDPOINTS as f64, "most loaded {most}");
    let read_at = homes.len() as f64 / PARTS as f64;
    assert!(read_at <= 4.0, "each part is read at {read_at} endpoints");
}
