//! Simulates engines with a small and a large model, and callers who value good and early answers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use policy::{Cascade, Pressure};

const REQUESTS: usize = 20_000;
const ENGINES: usize = 9;

/// The service time of one request on the small and on the large model, in milliseconds.
const SMALL_MS: f64 = 20.0;
const LARGE_MS: f64 = 200.0;

/// The costs of one call to each model, relative to the value of a good answer in time.
const SMALL_COST: f64 = 0.017;
const LARGE_COST: f64 = 0.26;

/// The hardness, from 0 to 1, below which the small model answers a request well.
const SMALL_MAX_HARDNESS: f64 = 0.56;

/// The objective for the first event and the timeout of callers, in milliseconds.
const OBJECTIVE_MS: f64 = 2_000.0;
const TIMEOUT_MS: f64 = 20_000.0;

/// The values of a good answer after the objective and of a poor answer.
const LATE_VALUE: f64 = 0.5;
const POOR_VALUE: f64 = 0.05;

/// A policy that chooses the size of the model.
#[derive(Debug, Clone)]
pub struct Policy {
    pub name: &'static str,
    pub cascade: Cascade,
    /// Whether pressure lowers the threshold.
    pub adapts: bool,
}

/// The router's own policy and its baselines.
pub fn policies() -> Vec<Policy> {
    let policy = |name, threshold, adapts| Policy {
        name,
        cascade: Cascade::new(&[threshold]),
        adapts,
    };
    vec![
        policy("adaptive threshold", 55, true),
        policy("fixed threshold", 55, false),
        policy("always the largest", 101, false),
        policy("always the smallest", 0, false),
    ]
}

/// Returns the confidence that the small model reports, from 0 to 100.
fn confidence(hardness: f64, random: &mut Rng) -> u8 {
    // The sum of four uniform numbers approximates a normal distribution well enough.
    let noise: f64 = (0..4).map(|_| random.f64() - 0.5).sum();
    (50.0 + (SMALL_MAX_HARDNESS - hardness) * 150.0 + noise * 17.0).clamp(0.0, 100.0) as u8
}

/// The engines, each of which runs one request at a time.
struct Engines {
    free_at_ms: [f64; ENGINES],
}

impl Engines {
    /// Runs a request on the engine that is free first and returns the time of its first event.
    fn run(&mut self, at_ms: f64, work_ms: f64) -> f64 {
        let mut first = 0;
        for engine in 1..ENGINES {
            if self.free_at_ms[engine] < self.free_at_ms[first] {
                first = engine;
            }
        }
        let done_ms = self.free_at_ms[first].max(at_ms) + work_ms;
        self.free_at_ms[first] = done_ms;
        done_ms
    }
}

fn value(is_good: bool, took_ms: f64) -> f64 {
    if took_ms > TIMEOUT_MS {
        return 0.0;
    }
    match (is_good, took_ms <= OBJECTIVE_MS) {
        (true, true) => 1.0,
        (true, false) => LATE_VALUE,
        (false, _) => POOR_VALUE,
    }
}

/// One request of a caller.
struct Request {
    arrival_ms: f64,
    hardness: f64,
    confidence: u8,
}

/// A call of a request to a model, ordered by time so that a heap yields the earliest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    at_us: Reverse<u64>,
    request: usize,
    is_large: bool,
}

fn call(at_ms: f64, request: usize, is_large: bool) -> Call {
    Call {
        at_us: Reverse((at_ms * 1_000.0) as u64),
        request,
        is_large,
    }
}

fn requests(per_s: f64) -> Vec<Request> {
    let mut random = Rng::with_seed(5);
    let mut arrival_ms = 0.0;
    let mut requests = Vec::new();
    for _ in 0..REQUESTS {
        arrival_ms += -1_000.0 / per_s * random.f64().max(1e-9).ln();
        let hardness = random.f64();
        let confidence = confidence(hardness, &mut random);
        requests.push(Request {
            arrival_ms,
            hardness,
            confidence,
        });
    }
    requests
}

/// Simulates requests at this rate and returns the mean value of a request to its caller, less the
/// cost of the models.
pub fn simulate(policy: &Policy, per_s: f64) -> f64 {
    let requests = requests(per_s);
    let starts_large = policy.cascade.first_size(0, 1) == 1;
    let mut heap: BinaryHeap<Call> = BinaryHeap::new();
    for (index, request) in requests.iter().enumerate() {
        heap.push(call(request.arrival_ms, index, starts_large));
    }
    let mut engines = Engines {
        free_at_ms: [0.0; ENGINES],
    };
    let mut pressure = Pressure::default();
    let mut total = 0.0;
    while let Some(current) = heap.pop() {
        let request = &requests[current.request];
        let at_ms = current.at_us.0 as f64 / 1_000.0;
        if current.is_large {
            let done_ms = engines.run(at_ms, LARGE_MS);
            pressure.record((done_ms - at_ms) / OBJECTIVE_MS);
            total += value(true, done_ms - request.arrival_ms) - LARGE_COST;
            continue;
        }
        let done_ms = engines.run(at_ms, SMALL_MS);
        total -= SMALL_COST;
        let pressure = if policy.adapts { pressure.value() } else { 0.0 };
        if policy.cascade.keeps(0, Some(request.confidence), pressure) {
            let is_good = request.hardness < SMALL_MAX_HARDNESS;
            total += value(is_good, done_ms - request.arrival_ms);
        } else {
            heap.push(call(done_ms, current.request, true));
        }
    }
    total / REQUESTS as f64
}
