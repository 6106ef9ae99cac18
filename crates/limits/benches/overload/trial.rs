//! One way of choosing at one load.

use std::time::Instant;

use hdrhistogram::Histogram;
use kernel::Priority;
use limits::{
    Admission, Choice, EndpointView, OutlierDetector, RetryAfterSchedule, SuccessRetryBudget,
    choose,
};

use crate::queue::{Engine, Event, Events, Request};

/// Entry instances.
const INSTANCES: usize = 6;

/// Engines; they stand in three zones in turn.
const ENGINES: usize = 12;

/// The slots of an engine.
const SLOTS: u32 = 8;

/// The mean time of a call, in microseconds.
const MEAN_US: f64 = 100_000.0;

/// How much slower the one slow engine is.
const SLOW: f64 = 3.0;

/// The length of a run, in microseconds.
const RUN_US: u64 = 40_000_000;

/// The start that is not judged, in microseconds.
const WARM_UP_US: u64 = 5_000_000;

/// When a zone is lost and when it comes back, in microseconds.
const ZONE_LOST_US: [u64; 2] = [15_000_000, 20_000_000];

/// How long after a change of the zone figures of capacity are not judged, in microseconds.
const ZONE_SETTLE_US: u64 = 2_000_000;

/// The age at which an answer is of no more use, in microseconds.
const USEFUL_US: u64 = 2_000_000;

/// How often a refused caller comes back.
const MAX_COME_BACKS: u32 = 4;

/// The most endpoints that one request is tried at.
const MAX_ATTEMPTS: usize = 3;

/// The share of urgent and of normal requests.
const URGENT_SHARE: f64 = 0.1;
const NORMAL_SHARE: f64 = 0.6;

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Ours,
    Random,
    RoundRobin,
    LeastReported,
}

/// What came of a trial.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub urgent_p99_ms: f64,
    pub normal_p99_ms: f64,
    /// Useful answers over capacity, while all zones are up.
    pub goodput_share: f64,
    pub refused_share: f64,
    /// Calls at engines over requests that were let in.
    pub retry_amplification: f64,
    /// The time of a decision that ended in a refusal.
    pub refusal_p99_ms: f64,
    /// The most come-backs in 100 milliseconds, over the mean.
    pub peak_come_back_share: f64,
}

/// What one instance knows of one engine.
#[derive(Default, Clone)]
struct Known {
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
    mean_us: f64,
    outlier: OutlierDetector,
}

/// One instance.
struct Instance {
    known: Vec<Known>,
    turn: usize,
    comeback: RetryAfterSchedule,
    retries: SuccessRetryBudget,
}

/// One trial.
pub struct Trial {
    way: Way,
    load: f64,
    random: fastrand::Rng,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    events: Events,
    admission: Admission,
    urgent: Histogram<u64>,
    normal: Histogram<u64>,
    refusals: Histogram<u64>,
    come_backs: Vec<u64>,
    useful: u64,
    offered: u64,
    refused: u64,
    let_in: u64,
    attempts: u64,
}

impl Trial {
    pub fn new(way: Way, load: f64, seed: u64) -> Trial {
        let engine =
            |index: usize| Engine::new(SLOTS, if index == 0 { SLOW } else { 1.0 }, index % 3);
        let instance = |_| Instance {
            known: vec![Known::default(); ENGINES],
            turn: 0,
            comeback: RetryAfterSchedule::default(),
            retries: SuccessRetryBudget::new(0.1, 10.0),
        };
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Trial {
            way,
            load,
            random: fastrand::Rng::with_seed(seed),
            engines: (0..ENGINES).map(engine).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            events: Events::default(),
            admission: Admission::default(),
            urgent: histogram(),
            normal: histogram(),
            refusals: histogram(),
            come_backs: vec![0; (RUN_US / 100_000) as usize + 1],
            useful: 0,
            offered: 0,
            refused: 0,
            let_in: 0,
            attempts: 0,
        }
    }

    /// Returns the calls a second that the engines can do.
    fn capacity_per_s(&self) -> f64 {
        let rates = self
            .engines
            .iter()
            .map(|engine| f64::from(engine.slots) / (MEAN_US * engine.slowness / 1e6));
        rates.sum()
    }

    pub fn run(mut self) -> Outcome {
        self.add_arrivals();
        self.events.add(ZONE_LOST_US[0], Event::Zone { up: false });
        self.events.add(ZONE_LOST_US[1], Event::Zone { up: true });
        while let Some((now_us, event)) = self.events.next() {
            if now_us > RUN_US {
                break;
            }
            match event {
                Event::Arrive(request) => self.arrive(request, now_us),
                Event::Finish {
                    endpoint,
                    request,
                    sent_us,
                    epoch,
                } => {
                    self.finish(endpoint, request, sent_us, epoch, now_us);
                }
                Event::Zone { up } => self.zone(up, now_us),
            }
        }
        self.outcome()
    }

    fn add_arrivals(&mut self) {
        let per_us = self.capacity_per_s() * self.load / 1e6;
        let mut at = 0.0;
        while (at as u64) < RUN_US {
            at += -self.random.f64().max(1e-12).ln() / per_us;
            let point = self.random.f64();
            let priority = match point {
                point if point < URGENT_SHARE => Priority::Urgent,
                point if point < URGENT_SHARE + NORMAL_SHARE => Priority::Normal,
                _ => Priority::Batch,
            };
            let instance = self.random.usize(..INSTANCES);
            let request = Request {
                instance,
                priority,
                arrived_us: at as u64,
                come_backs: 0,
            };
            self.events.add(at as u64, Event::Arrive(request));
            self.offered += 1;
        }
    }

    fn views(&self, instance: usize, now_us: u64) -> Vec<EndpointView> {
        let known = &self.instances[instance].known;
        let timed: Vec<f64> = known
            .iter()
            .map(|known| known.mean_us)
            .filter(|mean| *mean > 0.0)
            .collect();
        let pool_mean = timed.iter().sum::<f64>() / timed.len().max(1) as f64;
        let mut views = Vec::new();
        for (known, engine) in known.iter().zip(&self.engines) {
            views.push(EndpointView {
                slots: engine.slots,
                in_flight: known.in_flight,
                reported_load: known.reported,
                in_flight_at_report: known.in_flight_at_report,
                latency_ratio: if known.mean_us > 0.0 {
                    known.mean_us / pool_mean
                } else {
                    1.0
                },
                same_zone: engine.zone == instance % 3,
                serving: true,
                health: known.outlier.health(now_us / 1000),
            });
        }
        views
    }

    fn pick(&mut self, request: Request, tried: &[usize], now_us: u64) -> Choice {
        match self.way {
            Way::Ours => {
                let views = self.views(request.instance, now_us);
                choose(
                    &views,
                    request.priority,
                    &self.admission,
                    tried,
                    &mut self.random,
                )
            }
            Way::Random => Choice::Endpoint(self.random.usize(..ENGINES)),
            Way::RoundRobin => {
                let instance = &mut self.instances[request.instance];
                instance.turn = (instance.turn + 1) % ENGINES;
                Choice::Endpoint(instance.turn)
            }
            Way::LeastReported => {
                let known = &self.instances[request.instance].known;
                let least = (0..ENGINES).min_by_key(|index| known[*index].reported);
                Choice::Endpoint(least.unwrap_or(0))
            }
        }
    }

    fn arrive(&mut self, request: Request, now_us: u64) {
        let mut tried = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let start = Instant::now();
            let choice = self.pick(request, &tried, now_us);
            let decided = start.elapsed();
            let Choice::Endpoint(endpoint) = choice else {
                let _ = self.refusals.record(decided.as_nanos() as u64);
                return self.refuse(request, now_us);
            };
            if attempt == 0 {
                self.let_in += 1;
            }
            self.attempts += 1;
            if self.engines[endpoint].up {
                return self.send(endpoint, request, now_us);
            }
            let instance = &mut self.instances[request.instance];
            instance.known[endpoint].outlier.record(true, now_us / 1000);
            tried.push(endpoint);
            if !instance.retries.try_acquire() {
                break;
            }
        }
        self.refuse(request, now_us);
    }

    fn send(&mut self, endpoint: usize, request: Request, now_us: u64) {
        self.instances[request.instance].known[endpoint].in_flight += 1;
        if self.engines[endpoint].take(request, now_us) {
            self.start(endpoint, request, now_us, now_us);
        }
    }

    fn start(&mut self, endpoint: usize, request: Request, sent_us: u64, now_us: u64) {
        let engine = &self.engines[endpoint];
        let length = -self.random.f64().max(1e-12).ln() * MEAN_US * engine.slowness;
        let finish = Event::Finish {
            endpoint,
            request,
            sent_us,
            epoch: engine.epoch,
        };
        self.events.add(now_us + length as u64, finish);
    }

    fn finish(&mut self, endpoint: usize, request: Request, sent_us: u64, epoch: u32, now_us: u64) {
        let lost = epoch != self.engines[endpoint].epoch;
        let next = if lost {
            None
        } else {
            self.engines[endpoint].end()
        };
        let load = self.engines[endpoint].load();
        let instance = &mut self.instances[request.instance];
        let known = &mut instance.known[endpoint];
        known.in_flight = known.in_flight.saturating_sub(1);
        known.outlier.record(lost, now_us / 1000);
        if lost {
            return;
        }
        // The answer carries the engine's load as of its head.
        known.reported = load;
        known.in_flight_at_report = known.in_flight;
        let elapsed = (now_us - sent_us) as f64;
        known.mean_us += if known.mean_us == 0.0 {
            elapsed
        } else {
            0.1 * (elapsed - known.mean_us)
        };
        instance.retries.record_success();
        self.note(request, now_us);
        if let Some((request, sent_us)) = next {
            self.start(endpoint, request, sent_us, now_us);
        }
    }

    fn note(&mut self, request: Request, now_us: u64) {
        let age = now_us - request.arrived_us;
        if request.arrived_us < WARM_UP_US {
            return;
        }
        match request.priority {
            Priority::Urgent => drop(self.urgent.record(age)),
            Priority::Normal => drop(self.normal.record(age)),
            Priority::Batch => {}
        }
        let judged = judged(now_us);
        self.useful += u64::from(judged && age <= USEFUL_US);
    }

    fn refuse(&mut self, request: Request, now_us: u64) {
        self.refused += u64::from(request.come_backs == 0);
        if request.come_backs >= MAX_COME_BACKS {
            return;
        }
        let free_per_s = self.capacity_per_s() / INSTANCES as f64;
        let uniform = self.random.f64();
        let instance = &mut self.instances[request.instance];
        let delay_ms = instance
            .comeback
            .next_delay_ms(now_us / 1000, free_per_s, uniform);
        let at_us = now_us + delay_ms * 1000;
        if let Some(count) = self.come_backs.get_mut((at_us / 100_000) as usize) {
            *count += 1;
        }
        // A caller that comes back asks anew; its latency counts from then.
        let again = Request {
            come_backs: request.come_backs + 1,
            arrived_us: at_us,
            ..request
        };
        self.events.add(at_us, Event::Arrive(again));
    }

    fn zone(&mut self, up: bool, now_us: u64) {
        for index in 0..ENGINES {
            if self.engines[index].zone != 1 {
                continue;
            }
            if up {
                self.engines[index].up = true;
                continue;
            }
            for request in self.engines[index].fail() {
                let lost = Event::Finish {
                    endpoint: index,
                    request,
                    sent_us: now_us,
                    epoch: u32::MAX,
                };
                self.events.add(now_us, lost);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let judged_us: u64 = (WARM_UP_US..RUN_US)
            .step_by(1000)
            .filter(|at| judged(*at))
            .count() as u64
            * 1000;
        let capacity = self.capacity_per_s() * judged_us as f64 / 1e6;
        let mean = self.come_backs.iter().sum::<u64>() as f64 / self.come_backs.len() as f64;
        let peak = self.come_backs.iter().copied().max().unwrap_or(0) as f64;
        Outcome {
            urgent_p99_ms: self.urgent.value_at_quantile(0.99) as f64 / 1000.0,
            normal_p99_ms: self.normal.value_at_quantile(0.99) as f64 / 1000.0,
            goodput_share: self.useful as f64 / capacity,
            refused_share: self.refused as f64 / self.offered as f64,
            retry_amplification: self.attempts as f64 / self.let_in.max(1) as f64,
            refusal_p99_ms: self.refusals.value_at_quantile(0.99) as f64 / 1e6,
            peak_come_back_share: if mean > 0.0 { peak / mean } else { 0.0 },
        }
    }
}

/// Returns whether figures of capacity are judged at a moment: while all zones are up.
fn judged(at_us: u64) -> bool {
    let lost = (ZONE_LOST_US[0]..ZONE_LOST_US[1] + ZONE_SETTLE_US).contains(&at_us);
    at_us >= WARM_UP_US && !lost
}
