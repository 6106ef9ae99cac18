//! A fleet of many instances that learns the speeds of endpoints, simulated without a network.

use std::collections::VecDeque;

use limits::{Candidate, EndpointPace, Health, PromptLoad, place, shortlist, time_ratios};

const ENDPOINTS: usize = 90;
const INSTANCES: usize = 65;
const SLOTS: usize = 16;
const STEP_MS: u64 = 50;
const PLAY_MS: u64 = 60_000;
/// Until the speeds can be known, nothing is counted.
const WARM_UP_MS: u64 = 15_000;
const LOAD_REPORT_MS: u64 = 300;
const PACE_REPORT_MS: u64 = 2_000;
const NOISE_STEP_MS: u64 = 600;
const NOISE_CHANCE: f64 = 0.15;
const NOISE_FACTOR: f64 = 2.5;
const PROMPT_MS: f64 = 200.0;
const EVENT_MS: f64 = 100.0;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const EQUAL: [f64; 3] = [1.0; 3];

#[derive(Debug)]
struct Request {
    instance: usize,
    sent_ms: u64,
    /// Time that it takes on an idle endpoint of speed 1 until the first event, and until the end.
    prompt_left_ms: f64,
    answer_left_ms: f64,
    /// Time since the last sample, and how much of that speed 1 would have taken.
    sample_ms: f64,
    sample_work_ms: f64,
    /// The same since the first event.
    run_ms: f64,
    run_work_ms: f64,
}

/// Latency ratio of the present code: of this instance's samples, halved each second.
#[derive(Debug, Clone, Copy, Default)]
struct OwnRatio {
    distance: f64,
    updated_ms: u64,
}

impl OwnRatio {
    fn ratio(&self, now_ms: u64) -> f64 {
        let age_ms = (now_ms - self.updated_ms) as f64;
        1.0 + self.distance * 0.5_f64.powf(age_ms / 1_000.0)
    }

    fn record(&mut self, ratio: f64, now_ms: u64) {
        let mean = self.ratio(now_ms);
        self.distance = mean + 0.15 * (ratio.clamp(0.25, 8.0) - mean) - 1.0;
        self.updated_ms = now_ms;
    }
}

#[derive(Debug, Default)]
struct Play {
    first_p90_ms: u64,
    whole_p90_ms: u64,
    placements: Vec<usize>,
    learned: Vec<Option<f64>>,
}

/// Plays requests at `per_s` on endpoints whose times follow `factors`, with or without the learned
/// speeds.
fn play(factors: [f64; 3], per_s: f64, learns: bool, seed: u64) -> Play {
    let mut arrivals = fastrand::Rng::with_seed(seed);
    let mut noise = fastrand::Rng::with_seed(seed + 1);
    let mut random = fastrand::Rng::with_seed(seed + 2);
    let mut running: Vec<Vec<Request>> = (0..ENDPOINTS).map(|_| Vec::new()).collect();
    let mut queued: Vec<VecDeque<Request>> = (0..ENDPOINTS).map(|_| VecDeque::new()).collect();
    let mut disturbed = [1.0; ENDPOINTS];
    let mut known_loads = [0.0; ENDPOINTS];
    let mut own_ratios = vec![[OwnRatio::default(); ENDPOINTS]; INSTANCES];
    let mut sampled = [EndpointPace::default(); ENDPOINTS];
    let mut known = [EndpointPace::default(); ENDPOINTS];
    let mut result = Play {
        learned: vec![None; ENDPOINTS],
        ..Play::default()
    };
    let (mut first_ms, mut whole_ms) = (Vec::new(), Vec::new());
    let mut next_ms = 0.0;
    for now_ms in (0..PLAY_MS).step_by(STEP_MS as usize) {
        if now_ms % NOISE_STEP_MS == 0 {
            for factor in &mut disturbed {
                let is_slow = noise.f64() < NOISE_CHANCE;
                *factor = if is_slow { NOISE_FACTOR } else { 1.0 };
            }
        }
        if now_ms % LOAD_REPORT_MS == 0 {
            for (endpoint, load) in known_loads.iter_mut().enumerate() {
                *load = (running[endpoint].len() + queued[endpoint].len()) as f64;
            }
        }
        if learns && now_ms % PACE_REPORT_MS == 0 {
            for (pace, sampled) in known.iter_mut().zip(&sampled) {
                pace.replace(sampled.sums(now_ms), now_ms);
            }
            result.learned = time_ratios(&known, now_ms);
        }
        while next_ms <= now_ms as f64 {
            next_ms += -1_000.0 / per_s * arrivals.f64().max(1e-9).ln();
            let instance = arrivals.usize(..INSTANCES);
            let events = 36.0 * (0.3 + 1.4 * arrivals.f64());
            let mut candidates = Vec::with_capacity(ENDPOINTS);
            for endpoint in 0..ENDPOINTS {
                candidates.push(Candidate {
                    load: known_loads[endpoint],
                    slots: SLOTS as u32,
                    latency_ratio: own_ratios[instance][endpoint].ratio(now_ms),
                    time_ratio: result.learned[endpoint],
                    same_zone: endpoint % 9 / 3 == instance % 3,
                    health: Health::Usable,
                    affinity: None,
                    has_capacity: true,
                });
            }
            let listed = shortlist(&candidates, &mut random);
            let open: Vec<Candidate> = listed.iter().map(|index| candidates[*index]).collect();
            let selected = place(&open, &PromptLoad::default(), &mut random).unwrap();
            let endpoint = listed[selected.index];
            result.placements.push(endpoint);
            queued[endpoint].push_back(Request {
                instance,
                sent_ms: now_ms,
                prompt_left_ms: PROMPT_MS,
                answer_left_ms: events * EVENT_MS,
                sample_ms: 0.0,
                sample_work_ms: 0.0,
                run_ms: 0.0,
                run_work_ms: 0.0,
            });
        }
        for endpoint in 0..ENDPOINTS {
            while running[endpoint].len() < SLOTS {
                let Some(request) = queued[endpoint].pop_front() else {
                    break;
                };
                running[endpoint].push(request);
            }
            let factor = factors[endpoint % 3] * disturbed[endpoint];
            let work_ms = STEP_MS as f64 / factor;
            let ended_ms = now_ms + STEP_MS;
            running[endpoint].retain_mut(|request| {
                if request.prompt_left_ms > 0.0 {
                    request.prompt_left_ms -= work_ms;
                    if request.prompt_left_ms <= 0.0 && request.sent_ms >= WARM_UP_MS {
                        first_ms.push(ended_ms - request.sent_ms);
                    }
                    return true;
                }
                request.answer_left_ms -= work_ms;
                request.sample_ms += STEP_MS as f64;
                request.sample_work_ms += work_ms;
                request.run_ms += STEP_MS as f64;
                request.run_work_ms += work_ms;
                let is_over = request.answer_left_ms <= 0.0;
                let events = request.sample_work_ms / EVENT_MS;
                if events >= 4.0 && (request.sample_ms >= 1_000.0 || is_over) {
                    let ratio = request.sample_ms / request.sample_work_ms;
                    let weight = (events / 8.0).min(1.0);
                    sampled[endpoint].record(ratio, weight, ended_ms);
                    request.sample_ms = 0.0;
                    request.sample_work_ms = 0.0;
                }
                if is_over {
                    let ratio = request.run_ms / request.run_work_ms;
                    own_ratios[request.instance][endpoint].record(ratio, ended_ms);
                    if request.sent_ms >= WARM_UP_MS {
                        whole_ms.push(ended_ms - request.sent_ms);
                    }
                }
                !is_over
            });
        }
    }
    first_ms.sort_unstable();
    whole_ms.sort_unstable();
    result.first_p90_ms = first_ms[first_ms.len() * 9 / 10];
    result.whole_p90_ms = whole_ms[whole_ms.len() * 9 / 10];
    result
}

/// Guards against answers that take 17 s on a slow endpoint while a fast one has room, and against
/// the opposite: all requests wait for the fast endpoints. The objective for first events is 2 s.
#[test]
fn a_fleet_that_learns_speeds_completes_earlier_with_first_events_in_time() {
    for per_s in [80.0, 160.0, 270.0] {
        let present = play(SPEEDS, per_s, false, 5);
        let learned = play(SPEEDS, per_s, true, 5);
        println!(
            "{per_s}/s, p90 of first events {} and {} ms, of whole answers {} and {} ms",
            present.first_p90_ms, learned.first_p90_ms, present.whole_p90_ms, learned.whole_p90_ms
        );
        assert!(learned.first_p90_ms <= 2_000, "{}", learned.first_p90_ms);
        assert!(learned.whole_p90_ms < present.whole_p90_ms, "{per_s}");
        // Ratios are relative to the usual time over all requests, so that only proportions are known.
        let mut proportions = Vec::new();
        for (endpoint, ratio) in learned.learned.iter().enumerate() {
            proportions.extend(ratio.map(|ratio| ratio / SPEEDS[endpoint % 3]));
        }
        proportions.sort_by(f64::total_cmp);
        let known = proportions.len();
        assert!(known >= ENDPOINTS * 9 / 10, "{known}");
        let median = proportions[known / 2];
        let right = proportions
            .iter()
            .filter(|found| (*found / median - 1.0).abs() < 0.3);
        assert!(right.count() >= known * 9 / 10, "{proportions:?}");
    }
}

/// Guards against differences learned from chance: placement among equal endpoints is as without
/// learned speeds, also under noise that all requests of an endpoint share.
#[test]
fn equal_endpoints_are_placed_on_as_without_learned_speeds() {
    for seed in [5, 6, 7] {
        for per_s in [50.0, 250.0] {
            let present = play(EQUAL, per_s, false, seed).placements;
            let learned = play(EQUAL, per_s, true, seed).placements;
            assert!(present == learned, "{per_s}/s, seed {seed}");
        }
    }
}

/// Guards against one odd endpoint of a large pool that the differences of all do not show, against
/// estimates that outlive their samples, and against numbers that are none.
#[test]
fn one_slow_endpoint_is_learned_and_forgotten() {
    let mut paces = [EndpointPace::default(); 60];
    for now_ms in (0..20_000).step_by(500) {
        for (endpoint, pace) in paces.iter_mut().enumerate() {
            let usual = if now_ms % 1_000 == 0 { 0.9 } else { 1.1 };
            pace.record(if endpoint == 7 { 2.0 } else { usual }, 1.0, now_ms);
            pace.record(f64::NAN, 1.0, now_ms);
        }
    }
    let learned = time_ratios(&paces, 20_000);
    assert!(learned[7].is_some_and(|ratio| ratio > 1.8), "{learned:?}");
    assert_eq!(learned.iter().flatten().count(), 1, "{learned:?}");
    assert_eq!(time_ratios(&paces, 70_000), [None; 60]);
    let sums = limits::PaceSums::from_means(f64::INFINITY, f64::NAN, 0.0);
    assert_eq!(sums, limits::PaceSums::default());
}
