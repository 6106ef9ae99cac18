//! Simulates engines that run models of several sizes, and callers who value good and early answers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use policy::{Cascade, CurrentAnswer, Scarcity, SizeEstimates, SizeOutlook};

const REQUESTS: usize = 20_000;
const ENGINES: usize = 9;

/// The objective for the first event and the timeout of callers, in milliseconds.
const OBJECTIVE_MS: f64 = 1_000.0;
const TIMEOUT_MS: f64 = 10_000.0;

/// The values of a good answer after the objective and of a poor answer.
const LATE_VALUE: f64 = 0.3;
const POOR_VALUE: f64 = 0.05;

/// The cost of a run of the largest size on idle engines that the router assumes.
const LARGEST_RUN_COST: f64 = 0.3;

/// The number of runs that one request may have.
const MAX_RUNS: u32 = 3;

/// One size of the model.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The hardness, from 0 to 1, below which the size answers a request well.
    pub max_hardness: f64,
    /// The engine time of a run, in milliseconds.
    pub work_ms: f64,
    /// The cost of a run, relative to the value of a good answer in time.
    pub cost: f64,
}

/// A cheap size for half of the requests, and a dear one for all.
pub const TWO_SIZES: &[Size] = &[
    Size {
        max_hardness: 0.56,
        work_ms: 20.0,
        cost: 0.017,
    },
    Size {
        max_hardness: 1.0,
        work_ms: 200.0,
        cost: 0.26,
    },
];

/// The sizes of the model and the requests.
#[derive(Debug, Clone, Copy)]
pub struct World {
    pub sizes: &'static [Size],
    pub per_s: f64,
    /// Factor on the rate in every fifth stretch of ten seconds.
    pub burst: f64,
}

/// A policy that chooses the size of each run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// The router's own.
    ExpectedGain,
    /// The smallest size, and the largest where its confidence is below this.
    FixedThreshold(u8),
    /// One run of the smallest or of the largest size.
    Smallest,
    Largest,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Served {
    /// The mean value of a request to its caller, less the cost of the models.
    pub value: f64,
    /// The share of requests whose first event came after the objective.
    pub late: f64,
    /// The share of requests that got a poor answer.
    pub poor: f64,
}

/// Returns the confidence that a size reports, from 0 to 100.
fn confidence(size: &Size, hardness: f64, random: &mut Rng) -> u8 {
    // The sum of four uniform numbers approximates a normal distribution well enough.
    let noise: f64 = (0..4).map(|_| random.f64() - 0.5).sum();
    (50.0 + (size.max_hardness - hardness) * 150.0 + noise * 17.0).clamp(0.0, 100.0) as u8
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

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
struct Request {
    arrival_ms: f64,
    hardness: f64,
}

/// A call of a request to a size, ordered by time so that a heap yields the earliest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    at_us: Reverse<u64>,
    request: usize,
    size: usize,
    unsure_size: Option<usize>,
    runs: u32,
}

fn time_us(at_ms: f64) -> Reverse<u64> {
    Reverse((at_ms * 1_000.0) as u64)
}

fn requests(world: &World) -> Vec<Request> {
    let mut random = Rng::with_seed(5);
    let mut arrival_ms = 0.0;
    let mut requests = Vec::new();
    for _ in 0..REQUESTS {
        let is_burst = (arrival_ms / 10_000.0) as u64 % 5 == 4;
        let factor = if is_burst { world.burst } else { 1.0 };
        arrival_ms += -1_000.0 / (world.per_s * factor) * random.f64().max(1e-9).ln();
        requests.push(Request {
            arrival_ms,
            hardness: random.f64(),
        });
    }
    requests
}

/// The state that the router's own policy learns.
struct Router<'a> {
    world: &'a World,
    scarcity: Scarcity,
    estimates: SizeEstimates,
}

impl Router<'_> {
    fn outlooks(&self) -> Vec<SizeOutlook> {
        let sizes = self.world.sizes;
        let largest_ms = sizes[sizes.len() - 1].work_ms;
        let shares = self.estimates.good_shares();
        let wait_ms = self.scarcity.wait_share() * OBJECTIVE_MS;
        let mut outlooks = Vec::new();
        for (size, good_share) in sizes.iter().zip(shares) {
            outlooks.push(SizeOutlook {
                good_share,
                relative_time: size.work_ms / largest_ms,
                first_event_ms: wait_ms + size.work_ms,
                run: None,
            });
        }
        outlooks
    }

    fn first_size(&self, policy: Policy) -> usize {
        match policy {
            Policy::ExpectedGain => {
                let cascade = Cascade::new(LARGEST_RUN_COST, self.scarcity.wait_share(), 0.5);
                cascade.first_size(&self.outlooks(), OBJECTIVE_MS, MAX_RUNS)
            }
            Policy::FixedThreshold(_) | Policy::Smallest => 0,
            Policy::Largest => self.world.sizes.len() - 1,
        }
    }

    fn next_size(
        &self,
        policy: Policy,
        answer: &CurrentAnswer,
        runs: u32,
        random: &mut Rng,
    ) -> Option<usize> {
        match policy {
            Policy::ExpectedGain => {
                let wait_share = self.scarcity.wait_share();
                let cascade = Cascade::new(LARGEST_RUN_COST, wait_share, random.f64());
                let runs_left = MAX_RUNS - runs;
                let next = cascade.next_size(&self.outlooks(), answer, runs_left)?;
                let trial = self
                    .estimates
                    .trial_size(answer.size, wait_share, random.f64());
                Some(trial.filter(|_| runs_left > 1).unwrap_or(next))
            }
            Policy::FixedThreshold(threshold) => {
                let largest = self.world.sizes.len() - 1;
                let is_sure = answer.confidence.is_some_and(|sure| sure >= threshold);
                (answer.size < largest && !is_sure).then_some(largest)
            }
            Policy::Smallest | Policy::Largest => None,
        }
    }
}

/// Simulates a world under a policy.
pub fn simulate(world: &World, policy: Policy) -> Served {
    let requests = requests(world);
    let mut random = Rng::with_seed(9);
    let mut router = Router {
        world,
        scarcity: Scarcity::default(),
        estimates: SizeEstimates::new(world.sizes.len()),
    };
    let mut engines = Engines {
        free_at_ms: [0.0; ENGINES],
    };
    let mut arrivals = requests.iter().enumerate().peekable();
    let mut heap: BinaryHeap<Call> = BinaryHeap::new();
    let mut served = Served::default();
    loop {
        let next_us = heap.peek().map(|call| call.at_us);
        if let Some((index, request)) = arrivals.peek()
            && next_us.is_none_or(|next_us| time_us(request.arrival_ms) >= next_us)
        {
            heap.push(Call {
                at_us: time_us(request.arrival_ms),
                request: *index,
                size: router.first_size(policy),
                unsure_size: None,
                runs: 1,
            });
            arrivals.next();
            continue;
        }
        let Some(call) = heap.pop() else {
            break;
        };
        let request = &requests[call.request];
        let size = &world.sizes[call.size];
        let at_ms = call.at_us.0 as f64 / 1_000.0;
        let done_ms = engines.run(at_ms, size.work_ms);
        served.value -= size.cost;
        let confidence = confidence(size, request.hardness, &mut random);
        let wait_ms = done_ms - at_ms - size.work_ms;
        router
            .scarcity
            .record(wait_ms, OBJECTIVE_MS, done_ms as u64);
        router
            .estimates
            .record(call.unsure_size, call.size, confidence);
        let took_ms = done_ms - request.arrival_ms;
        let answer = CurrentAnswer {
            size: call.size,
            confidence: Some(confidence),
            objective_left_ms: OBJECTIVE_MS - took_ms,
            end_chance: 1.0,
        };
        if let Some(next) = router.next_size(policy, &answer, call.runs, &mut random) {
            heap.push(Call {
                at_us: time_us(done_ms),
                request: call.request,
                size: next,
                unsure_size: Some(call.size),
                runs: call.runs + 1,
            });
            continue;
        }
        count(&mut served, request.hardness < size.max_hardness, took_ms);
    }
    let total = REQUESTS as f64;
    Served {
        value: served.value / total,
        late: served.late / total,
        poor: served.poor / total,
    }
}

fn count(served: &mut Served, is_good: bool, took_ms: f64) {
    if took_ms > OBJECTIVE_MS {
        served.late += 1.0;
    }
    if !is_good {
        served.poor += 1.0;
    }
    served.value += match (is_good, took_ms <= OBJECTIVE_MS) {
        _ if took_ms > TIMEOUT_MS => 0.0,
        (true, true) => 1.0,
        (true, false) => LATE_VALUE,
        (false, _) => POOR_VALUE,
    };
}
