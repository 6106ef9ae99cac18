//! Simulation of one strategy at one load.

use std::time::Instant;

use hdrhistogram::Histogram;
use kernel::Priority;
use limits::{
    Admission, Choice, EndpointView, OutlierDetector, RetryAfterSchedule, SuccessRetryBudget,
    choose,
};

use crate::queue::{Engine, Event, Events, Request};

const INSTANCES: usize = 6;

/// Assigned to three zones in turn.
const ENGINES: usize = 12;

const SLOTS_PER_ENGINE: u32 = 8;

const MEAN_CALL_US: f64 = 100_000.0;

/// Factor by which the first engine is slower than the others.
const SLOW_ENGINE_FACTOR: f64 = 3.0;

const RUN_US: u64 = 40_000_000;

/// Requests that arrive in this time are excluded from latencies and goodput.
const WARM_UP_US: u64 = 5_000_000;

/// When a zone fails and when it recovers.
const ZONE_OUTAGE_US: [u64; 2] = [15_000_000, 20_000_000];

/// Time after the zone's recovery that is excluded from the goodput.
const ZONE_SETTLE_US: u64 = 2_000_000;

/// Age up to which a response counts towards the goodput.
const MAX_USEFUL_AGE_US: u64 = 2_000_000;

/// How often a refused caller retries.
const MAX_CALLER_RETRIES: u32 = 4;

/// The most endpoints at which an instance tries one request.
const MAX_ATTEMPTS: usize = 3;

/// Shares of the priority classes; the rest are batch requests.
const URGENT_SHARE: f64 = 0.1;
const NORMAL_SHARE: f64 = 0.6;

/// How an endpoint is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    Ours,
    Random,
    RoundRobin,
    LeastReported,
}

/// Results of a trial.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub urgent_p99_ms: f64,
    pub normal_p99_ms: f64,
    /// Responses within the useful age over capacity, while all zones are up.
    pub goodput_share: f64,
    pub refused_share: f64,
    /// Calls to engines per admitted request.
    pub retry_amplification: f64,
    /// Time to decide on a refusal.
    pub refusal_p99_ms: f64,
    /// The most caller retries in 100 milliseconds, over the mean.
    pub peak_caller_retry_ratio: f64,
}

/// State that one instance keeps of one engine.
#[derive(Default, Clone)]
struct EngineState {
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
    mean_us: f64,
    outlier: OutlierDetector,
}

struct Instance {
    states: Vec<EngineState>,
    next_engine: usize,
    retry_after: RetryAfterSchedule,
    retries: SuccessRetryBudget,
}

/// Simulation of one strategy, load and seed.
pub struct Trial {
    strategy: Strategy,
    load: f64,
    random: fastrand::Rng,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    events: Events,
    admission: Admission,
    urgent: Histogram<u64>,
    normal: Histogram<u64>,
    refusals: Histogram<u64>,
    caller_retries: Vec<u64>,
    useful: u64,
    offered: u64,
    refused: u64,
    admitted: u64,
    attempts: u64,
}

impl Trial {
    pub fn new(strategy: Strategy, load: f64, seed: u64) -> Trial {
        let engine = |index: usize| {
            Engine::new(
                SLOTS_PER_ENGINE,
                if index == 0 { SLOW_ENGINE_FACTOR } else { 1.0 },
                index % 3,
            )
        };
        let instance = |_| Instance {
            states: vec![EngineState::default(); ENGINES],
            next_engine: 0,
            retry_after: RetryAfterSchedule::default(),
            retries: SuccessRetryBudget::new(0.1, 10.0),
        };
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Trial {
            strategy,
            load,
            random: fastrand::Rng::with_seed(seed),
            engines: (0..ENGINES).map(engine).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            events: Events::default(),
            admission: Admission::default(),
            urgent: histogram(),
            normal: histogram(),
            refusals: histogram(),
            caller_retries: vec![0; (RUN_US / 100_000) as usize + 1],
            useful: 0,
            offered: 0,
            refused: 0,
            admitted: 0,
            attempts: 0,
        }
    }

    /// Returns the total service rate of the engines.
    fn capacity_per_s(&self) -> f64 {
        let rates = self
            .engines
            .iter()
            .map(|engine| f64::from(engine.slots) / (MEAN_CALL_US * engine.slowness / 1e6));
        rates.sum()
    }

    pub fn run(mut self) -> Outcome {
        self.add_arrivals();
        self.events
            .add(ZONE_OUTAGE_US[0], Event::Zone { up: false });
        self.events.add(ZONE_OUTAGE_US[1], Event::Zone { up: true });
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
                Event::Zone { up } => self.set_zone(up, now_us),
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
                caller_retries: 0,
            };
            self.events.add(at as u64, Event::Arrive(request));
            self.offered += 1;
        }
    }

    fn views(&self, instance: usize, now_us: u64) -> Vec<EndpointView> {
        let states = &self.instances[instance].states;
        let means: Vec<f64> = states
            .iter()
            .map(|state| state.mean_us)
            .filter(|mean| *mean > 0.0)
            .collect();
        let pool_mean = means.iter().sum::<f64>() / means.len().max(1) as f64;
        let mut views = Vec::new();
        for (state, engine) in states.iter().zip(&self.engines) {
            views.push(EndpointView {
                slots: engine.slots,
                in_flight: state.in_flight,
                reported_load: state.reported,
                in_flight_at_report: state.in_flight_at_report,
                latency_ratio: if state.mean_us > 0.0 {
                    state.mean_us / pool_mean
                } else {
                    1.0
                },
                same_zone: engine.zone == instance % 3,
                serving: true,
                health: state.outlier.health(now_us / 1000),
            });
        }
        views
    }

    fn select(&mut self, request: Request, tried: &[usize], now_us: u64) -> Choice {
        match self.strategy {
            Strategy::Ours => {
                let views = self.views(request.instance, now_us);
                choose(
                    &views,
                    request.priority,
                    &self.admission,
                    tried,
                    &mut self.random,
                )
            }
            Strategy::Random => Choice::Endpoint(self.random.usize(..ENGINES)),
            Strategy::RoundRobin => {
                let instance = &mut self.instances[request.instance];
                instance.next_engine = (instance.next_engine + 1) % ENGINES;
                Choice::Endpoint(instance.next_engine)
            }
            Strategy::LeastReported => {
                let states = &self.instances[request.instance].states;
                let least = (0..ENGINES).min_by_key(|index| states[*index].reported);
                Choice::Endpoint(least.unwrap_or(0))
            }
        }
    }

    fn arrive(&mut self, request: Request, now_us: u64) {
        let mut tried = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let start = Instant::now();
            let choice = self.select(request, &tried, now_us);
            let decided = start.elapsed();
            let Choice::Endpoint(endpoint) = choice else {
                let _ = self.refusals.record(decided.as_nanos() as u64);
                return self.refuse(request, now_us);
            };
            if attempt == 0 {
                self.admitted += 1;
            }
            self.attempts += 1;
            if self.engines[endpoint].up {
                return self.send(endpoint, request, now_us);
            }
            let instance = &mut self.instances[request.instance];
            instance.states[endpoint]
                .outlier
                .record(true, now_us / 1000);
            tried.push(endpoint);
            if !instance.retries.try_acquire() {
                break;
            }
        }
        self.refuse(request, now_us);
    }

    fn send(&mut self, endpoint: usize, request: Request, now_us: u64) {
        self.instances[request.instance].states[endpoint].in_flight += 1;
        if self.engines[endpoint].submit(request, now_us) {
            self.start(endpoint, request, now_us, now_us);
        }
    }

    fn start(&mut self, endpoint: usize, request: Request, sent_us: u64, now_us: u64) {
        let engine = &self.engines[endpoint];
        let duration_us = -self.random.f64().max(1e-12).ln() * MEAN_CALL_US * engine.slowness;
        let finish = Event::Finish {
            endpoint,
            request,
            sent_us,
            epoch: engine.epoch,
        };
        self.events.add(now_us + duration_us as u64, finish);
    }

    fn finish(&mut self, endpoint: usize, request: Request, sent_us: u64, epoch: u32, now_us: u64) {
        let lost = epoch != self.engines[endpoint].epoch;
        let next = if lost {
            None
        } else {
            self.engines[endpoint].finish()
        };
        let load = self.engines[endpoint].load();
        let instance = &mut self.instances[request.instance];
        let state = &mut instance.states[endpoint];
        state.in_flight = state.in_flight.saturating_sub(1);
        state.outlier.record(lost, now_us / 1000);
        if lost {
            return;
        }
        // The response head reports the engine's load.
        state.reported = load;
        state.in_flight_at_report = state.in_flight;
        let elapsed = (now_us - sent_us) as f64;
        state.mean_us += if state.mean_us == 0.0 {
            elapsed
        } else {
            0.1 * (elapsed - state.mean_us)
        };
        instance.retries.record_success();
        self.record(request, now_us);
        if let Some((request, sent_us)) = next {
            self.start(endpoint, request, sent_us, now_us);
        }
    }

    fn record(&mut self, request: Request, now_us: u64) {
        let age = now_us - request.arrived_us;
        if request.arrived_us < WARM_UP_US {
            return;
        }
        match request.priority {
            Priority::Urgent => drop(self.urgent.record(age)),
            Priority::Normal => drop(self.normal.record(age)),
            Priority::Batch => {}
        }
        let counted = counts_for_goodput(now_us);
        self.useful += u64::from(counted && age <= MAX_USEFUL_AGE_US);
    }

    fn refuse(&mut self, request: Request, now_us: u64) {
        self.refused += u64::from(request.caller_retries == 0);
        if request.caller_retries >= MAX_CALLER_RETRIES {
            return;
        }
        let free_per_s = self.capacity_per_s() / INSTANCES as f64;
        let uniform = self.random.f64();
        let instance = &mut self.instances[request.instance];
        let delay_ms = instance
            .retry_after
            .next_delay_ms(now_us / 1000, free_per_s, uniform);
        let at_us = now_us + delay_ms * 1000;
        if let Some(count) = self.caller_retries.get_mut((at_us / 100_000) as usize) {
            *count += 1;
        }
        // The retry of a refused caller is a new request; its latency counts from the retry.
        let retry = Request {
            caller_retries: request.caller_retries + 1,
            arrived_us: at_us,
            ..request
        };
        self.events.add(at_us, Event::Arrive(retry));
    }

    fn set_zone(&mut self, up: bool, now_us: u64) {
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
        let counted_us: u64 = (WARM_UP_US..RUN_US)
            .step_by(1000)
            .filter(|at| counts_for_goodput(*at))
            .count() as u64
            * 1000;
        let capacity = self.capacity_per_s() * counted_us as f64 / 1e6;
        let mean =
            self.caller_retries.iter().sum::<u64>() as f64 / self.caller_retries.len() as f64;
        let peak = self.caller_retries.iter().copied().max().unwrap_or(0) as f64;
        Outcome {
            urgent_p99_ms: self.urgent.value_at_quantile(0.99) as f64 / 1000.0,
            normal_p99_ms: self.normal.value_at_quantile(0.99) as f64 / 1000.0,
            goodput_share: self.useful as f64 / capacity,
            refused_share: self.refused as f64 / self.offered as f64,
            retry_amplification: self.attempts as f64 / self.admitted.max(1) as f64,
            refusal_p99_ms: self.refusals.value_at_quantile(0.99) as f64 / 1e6,
            peak_caller_retry_ratio: if mean > 0.0 { peak / mean } else { 0.0 },
        }
    }
}

/// Returns whether the goodput counts at a time: after the warm-up, while all zones are up.
fn counts_for_goodput(at_us: u64) -> bool {
    let outage = (ZONE_OUTAGE_US[0]..ZONE_OUTAGE_US[1] + ZONE_SETTLE_US).contains(&at_us);
    at_us >= WARM_UP_US && !outage
}
