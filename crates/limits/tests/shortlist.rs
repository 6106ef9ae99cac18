//! Placement by many instances whose loads are out of date.

use std::collections::VecDeque;

use limits::{Candidate, Health, PromptLoad, place, shortlist};

const IDLE: Candidate = Candidate {
    load: 0.0,
    slots: 12,
    latency_ratio: 1.0,
    time_ratio: None,
    same_zone: true,
    health: Health::Usable,
    affinity: None,
    has_capacity: true,
};

#[test]
fn the_shortlist_has_the_homes_of_the_prefix_and_few_others() {
    let mut candidates = Vec::new();
    for index in 0..40 {
        candidates.push(Candidate {
            same_zone: index < 20,
            affinity: Some(index),
            ..IDLE
        });
    }
    let mut random = fastrand::Rng::with_seed(5);
    for _ in 0..50 {
        let listed = shortlist(&candidates, &mut random);
        assert_eq!(listed[..2], [39, 38]);
        assert_eq!(listed.len(), 7);
        let near = listed.iter().filter(|index| **index < 20);
        assert_eq!(near.count(), 4);
    }
}

#[test]
fn candidates_that_take_no_request_are_listed_only_without_others() {
    let full = Candidate {
        has_capacity: false,
        ..IDLE
    };
    let ejected = Candidate {
        health: Health::Ejected,
        ..IDLE
    };
    let mut random = fastrand::Rng::with_seed(5);
    assert_eq!(shortlist(&[full, IDLE, ejected], &mut random), [1]);
    assert_eq!(shortlist(&[full, ejected], &mut random), [0, 1]);
}

/// How instances choose.
#[derive(Debug, Clone, Copy)]
enum Method {
    /// Among all endpoints, without their loads.
    Blind,
    /// Among all endpoints, by loads that are out of date.
    All,
    /// Among the shortlist, by loads that are out of date.
    Shortlist,
}

/// Plays requests at 90 endpoints, one in a millisecond and each for 600 ms, where loads are known
/// every 240 ms, and returns the mean load that a request meets.
fn mean_load_met(method: Method) -> f64 {
    const ENDPOINTS: usize = 90;
    const REQUESTS: usize = 6_000;
    const DURATION_MS: usize = 600;
    const REPORT_MS: usize = 240;
    let mut random = fastrand::Rng::with_seed(11);
    let mut loads = [0.0; ENDPOINTS];
    let mut known = [0.0; ENDPOINTS];
    let mut running = VecDeque::new();
    let mut met = 0.0;
    for now_ms in 0..REQUESTS {
        while running.front().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            let (_, endpoint): (usize, usize) = running.pop_front().unwrap();
            loads[endpoint] -= 1.0;
        }
        if now_ms % REPORT_MS == 0 && !matches!(method, Method::Blind) {
            known = loads;
        }
        let candidates: Vec<Candidate> = known
            .iter()
            .map(|load| Candidate {
                load: *load,
                ..IDLE
            })
            .collect();
        let listed: Vec<usize> = match method {
            Method::Shortlist => shortlist(&candidates, &mut random),
            Method::All | Method::Blind => (0..ENDPOINTS).collect(),
        };
        let open: Vec<Candidate> = listed.iter().map(|index| candidates[*index]).collect();
        let index = place(&open, &PromptLoad::default(), &mut random)
            .unwrap()
            .index;
        let endpoint = listed[index];
        met += loads[endpoint];
        loads[endpoint] += 1.0;
        running.push_back((now_ms + DURATION_MS, endpoint));
    }
    met / REQUESTS as f64
}

#[test]
fn a_shortlist_keeps_instances_from_choosing_the_same_endpoint() {
    let [blind, all, short] = [Method::Blind, Method::All, Method::Shortlist].map(mean_load_met);
    println!("mean load met: blind {blind:.2}, all {all:.2}, shortlist {short:.2}");
    assert!(short < all, "{short} against {all}");
    assert!(short < blind, "{short} against {blind}");
}
