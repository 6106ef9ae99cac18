//! Engines with a small and a large model, and callers who want good answers soon.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use policy::{Cascade, Pressure};

const REQUESTS: usize = 20_000;
const ENGINES: usize = 9;

/// How long one request takes of an engine on the small and on the large model, in milliseconds.
const SMALL_MS: f64 = 20.0;
const LARGE_MS: f64 = 200.0;

/// What the models cost, relative to what a good answer earns.
const SMALL_COST: f64 = 0.017;
const LARGE_COST: f64 = 0.26;

/// How hard a request may be, from 0 to 1, for the small model to answer it well.
const SMALL_REACH: f64 = 0.56;

/// The objective for the first event, and how long callers wait for one, in milliseconds.
const OBJECTIVE_MS: f64 = 2_000.0;
const BUDGET_MS: f64 = 20_000.0;

/// What a good answer earns late, and a poor one.
const LATE: f64 = 0.5;
const POOR: f64 = 0.05;

/// A way to choose the size of the model.
#[derive(Debug, Clone)]
pub struct Policy {
    pub name: &'static str,
    pub ladder: Cascade,
    /// Whether the threshold sinks with the pressure.
    pub sinks: bool,
}

/// The router's own policy and its baselines.
pub fn policies() -> Vec<Policy> {
    let policy = |name, keep, sinks| Policy {
        name,
        ladder: Cascade::new(&[keep]),
        sinks,
    };
    vec![
        policy("ladder", 55, true),
        policy("fixed threshold", 55, false),
        policy("always the largest", 101, false),
        policy("always the smallest", 0, false),
    ]
}

/// Returns how sure the small model says to be, from 0 to 100.
fn confidence(hardness: f64, random: &mut Rng) -> u8 {
    // The sum of four uniform numbers is close enough to a normal one.
    let noise: f64 = (0..4).map(|_| random.f64() - 0.5).sum();
    (50.0 + (SMALL_REACH - hardness) * 150.0 + noise * 17.0).clamp(0.0, 100.0) as u8
}

/// The engines, which answer one request after the other.
struct Engines {
    free_at_ms: [f64; ENGINES],
}

impl Engines {
    /// Runs a request at the engine that is free first, and returns when it has its first event.
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

fn earned(is_good: bool, took_ms: f64) -> f64 {
    if took_ms > BUDGET_MS {
        return 0.0;
    }
    match (is_good, took_ms <= OBJECTIVE_MS) {
        (true, true) => 1.0,
        (true, false) => LATE,
        (false, _) => POOR,
    }
}

/// One request under way.
struct Request {
    came_ms: f64,
    hardness: f64,
    sure: u8,
}

/// A request that asks a model at a time, the earliest first in a heap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Asking {
    at_us: Reverse<u64>,
    request: usize,
    is_large: bool,
}

fn asking(at_ms: f64, request: usize, is_large: bool) -> Asking {
    Asking {
        at_us: Reverse((at_ms * 1_000.0) as u64),
        request,
        is_large,
    }
}

fn requests(per_s: f64) -> Vec<Request> {
    let mut random = Rng::with_seed(5);
    let mut came_ms = 0.0;
    let mut requests = Vec::new();
    for _ in 0..REQUESTS {
        came_ms += -1_000.0 / per_s * random.f64().max(1e-9).ln();
        let hardness = random.f64();
        let sure = confidence(hardness, &mut random);
        requests.push(Request {
            came_ms,
            hardness,
            sure,
        });
    }
    requests
}

/// Plays requests that come at this rate, and returns what callers get less what models cost, for
/// each request.
pub fn play(policy: &Policy, per_s: f64) -> f64 {
    let requests = requests(per_s);
    let starts_large = policy.ladder.first_size(0, 1) == 1;
    let mut heap: BinaryHeap<Asking> = BinaryHeap::new();
    for (index, request) in requests.iter().enumerate() {
        heap.push(asking(request.came_ms, index, starts_large));
    }
    let mut engines = Engines {
        free_at_ms: [0.0; ENGINES],
    };
    let mut pressure = Pressure::default();
    let mut worth = 0.0;
    while let Some(next) = heap.pop() {
        let request = &requests[next.request];
        let at_ms = next.at_us.0 as f64 / 1_000.0;
        if next.is_large {
            let done_ms = engines.run(at_ms, LARGE_MS);
            pressure.record((done_ms - at_ms) / OBJECTIVE_MS);
            worth += earned(true, done_ms - request.came_ms) - LARGE_COST;
            continue;
        }
        let done_ms = engines.run(at_ms, SMALL_MS);
        worth -= SMALL_COST;
        let pressure = if policy.sinks { pressure.value() } else { 0.0 };
        if policy.ladder.keeps(0, Some(request.sure), pressure) {
            let is_good = request.hardness < SMALL_REACH;
            worth += earned(is_good, done_ms - request.came_ms);
        } else {
            heap.push(asking(done_ms, next.request, true));
        }
    }
    worth / REQUESTS as f64
}
