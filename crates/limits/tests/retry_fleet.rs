//! Plays fleets whose instances start, end and lose sight of each other in a retry storm, and checks
//! the retries of all instances together against the budget in every window.

use std::fmt;

use fastrand::Rng;
use limits::{FleetSize, WindowedRetryBudget, WindowedRetrySettings};

const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;
const SEEDS: u64 = 4;
const CHECK_STEP_MS: u64 = 100;

const RATIO: f64 = 0.9;
const FLOOR: f64 = 52.0;
const WINDOW_MS: u64 = 10_000;

/// Share of the budget that instances use; the rest is a margin.
const SHARE: f64 = 0.9;

/// Instances that the settings of a large fleet name: three to join, and the own one.
const CONFIGURED_INSTANCES: usize = 4;

/// Retries of a request: some are refused before one runs, and three may run.
const MAX_RETRIES: u32 = 5;
const MAX_RUN_RETRIES: u32 = 2;
const RETRY_DELAY_MS: u64 = 20;

/// Time after which a request is sent again to whom no endpoint answers.
const TIMEOUT_MS: u64 = 500;

/// How long an instance is down after a kill, and until it knows its peers, in milliseconds.
const RESTART_MS: u64 = 300;
const JOIN_MS: u64 = 1_000;

/// Time until a dead instance counts no longer, in milliseconds.
const DETECT_MS: u64 = 2_500;

/// When all sends start to fail, unless the case says otherwise.
const STORM_MS: u64 = 20_000;

/// What happens to one instance.
#[derive(Debug, Clone, Copy)]
enum Change {
    Kill,
    Start,
}

#[derive(Debug, Clone, Copy)]
struct Event {
    at_ms: u64,
    slot: usize,
    change: Change,
}

#[derive(Debug, Clone)]
struct Case {
    name: &'static str,
    instances: usize,
    requests_per_s: f64,
    /// Share of sends that fail in the storm.
    failing: f64,
    max_retries: u32,
    events: Vec<Event>,
    /// When no instance sees another.
    apart_ms: std::ops::Range<u64>,
    /// When requests come five times as often.
    burst_ms: std::ops::Range<u64>,
    /// When endpoints are paused. They read what was sent meanwhile all at once.
    paused_ms: std::ops::Range<u64>,
}

impl Case {
    fn new(name: &'static str, instances: usize, requests_per_s: f64) -> Case {
        Case {
            name,
            instances,
            requests_per_s,
            failing: 1.0,
            max_retries: MAX_RETRIES,
            events: Vec::new(),
            apart_ms: 0..0,
            burst_ms: 0..0,
            paused_ms: 0..0,
        }
    }

    fn paused_ms(mut self, times: std::ops::Range<u64>) -> Case {
        self.paused_ms = times;
        self
    }

    fn failing(mut self, share: f64) -> Case {
        self.failing = share;
        self
    }

    fn max_retries(mut self, retries: u32) -> Case {
        self.max_retries = retries;
        self
    }

    fn apart_ms(mut self, times: std::ops::Range<u64>) -> Case {
        self.apart_ms = times;
        self
    }

    fn burst_ms(mut self, times: std::ops::Range<u64>) -> Case {
        self.burst_ms = times;
        self
    }

    fn event(mut self, at_ms: u64, slot: usize, change: Change) -> Case {
        let event = Event {
            at_ms,
            slot,
            change,
        };
        self.events.push(event);
        self
    }

    /// Kills an instance, which restarts soon.
    fn restart(self, at_ms: u64, slot: usize) -> Case {
        self.event(at_ms, slot, Change::Kill)
            .event(at_ms + RESTART_MS, slot, Change::Start)
    }

    fn restart_each(mut self, first_ms: u64, interval_ms: u64, rounds: usize) -> Case {
        for number in 0..rounds * self.instances {
            let slot = number % self.instances;
            self = self.restart(first_ms + number as u64 * interval_ms, slot);
        }
        self
    }
}

struct Instance {
    started_ms: u64,
    budget: WindowedRetryBudget,
    fleet_size: FleetSize,
    /// Retries that wait at endpoints which are paused.
    late: usize,
}

impl Instance {
    fn new(now_ms: u64, configured: usize) -> Instance {
        let settings = WindowedRetrySettings {
            ratio: RATIO * SHARE,
            floor: FLOOR * SHARE,
            window_ms: WINDOW_MS,
        };
        Instance {
            started_ms: now_ms,
            budget: WindowedRetryBudget::new(settings, now_ms),
            fleet_size: FleetSize::new(configured),
            late: 0,
        }
    }

    fn defer_arrival(&mut self, now_ms: u64) {
        self.budget.defer_arrival(now_ms);
        self.late += 1;
    }

    fn record_arrivals(&mut self, now_ms: u64) {
        for _ in 0..std::mem::take(&mut self.late) {
            self.budget.record_arrival(now_ms);
        }
    }

    fn record_request(&mut self, now_ms: u64, seen: usize) {
        self.fleet_size.record(now_ms, seen);
        self.budget.record_request(now_ms);
    }

    fn try_acquire(&mut self, now_ms: u64, seen: usize) -> bool {
        let fleet = self.fleet_size.record(now_ms, seen);
        self.budget.try_acquire(now_ms, fleet)
    }
}

/// A request whose last send failed.
struct Failed {
    slot: usize,
    retries: u32,
    due_ms: u64,
}

struct Fleet {
    case: Case,
    rng: Rng,
    /// Instances that the settings of each one name.
    configured: usize,
    slots: Vec<Option<Instance>>,
    /// When each slot was last up, in milliseconds.
    up_ms: Vec<Option<u64>>,
    failed: Vec<Failed>,
    request_times_ms: Vec<u64>,
    retry_times_ms: Vec<u64>,
    refused: usize,
}

impl Fleet {
    fn new(case: &Case, seed: u64) -> Fleet {
        let joins_later = |slot: &usize| {
            let mut events = case.events.iter();
            let first = events.find(|event| event.slot == *slot);
            matches!(first.map(|event| event.change), Some(Change::Start))
        };
        let configured = case.instances.min(CONFIGURED_INSTANCES);
        let slots: Vec<Option<Instance>> = (0..case.instances)
            .map(|slot| (!joins_later(&slot)).then(|| Instance::new(0, configured)))
            .collect();
        Fleet {
            rng: Rng::with_seed(seed),
            configured,
            up_ms: vec![None; slots.len()],
            slots,
            case: case.clone(),
            failed: Vec::new(),
            request_times_ms: Vec::new(),
            retry_times_ms: Vec::new(),
            refused: 0,
        }
    }

    fn play(mut self) -> Fleet {
        for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
            self.change(now_ms);
            if now_ms == self.case.paused_ms.end {
                let up = self.slots.iter_mut().flatten();
                up.for_each(|instance| instance.record_arrivals(now_ms));
            }
            self.arrive(now_ms);
            self.retry(now_ms);
        }
        self
    }

    fn change(&mut self, now_ms: u64) {
        for event in &self.case.events {
            if !(event.at_ms..event.at_ms + STEP_MS).contains(&now_ms) {
                continue;
            }
            self.slots[event.slot] = match event.change {
                Change::Kill => None,
                Change::Start => Some(Instance::new(now_ms, self.configured)),
            };
            self.failed.retain(|failed| failed.slot != event.slot);
        }
        for (slot, up_ms) in self.slots.iter().zip(&mut self.up_ms) {
            if slot.is_some() {
                *up_ms = Some(now_ms);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let factor = if self.case.burst_ms.contains(&now_ms) {
            5.0
        } else {
            1.0
        };
        let mut due = self.case.requests_per_s * factor * STEP_MS as f64 / 1_000.0;
        while self.rng.f64() < due {
            due -= 1.0;
            let up: Vec<usize> = (0..self.slots.len())
                .filter(|slot| self.slots[*slot].is_some())
                .collect();
            if up.is_empty() {
                continue;
            }
            self.request_times_ms.push(now_ms);
            let slot = up[self.rng.usize(..up.len())];
            let seen = self.seen(slot, now_ms);
            if let Some(instance) = &mut self.slots[slot] {
                instance.record_request(now_ms, seen);
            }
            self.send(slot, 0, now_ms);
        }
    }

    fn send(&mut self, slot: usize, retries: u32, now_ms: u64) {
        let is_paused = self.case.paused_ms.contains(&now_ms);
        let fails = now_ms >= STORM_MS && self.rng.f64() < self.case.failing;
        if (is_paused || fails) && retries < self.case.max_retries {
            let delay_ms = if is_paused {
                TIMEOUT_MS
            } else {
                RETRY_DELAY_MS
            };
            self.failed.push(Failed {
                slot,
                retries,
                due_ms: now_ms + delay_ms,
            });
        }
    }

    fn retry(&mut self, now_ms: u64) {
        for failed in std::mem::take(&mut self.failed) {
            if failed.due_ms > now_ms {
                self.failed.push(failed);
                continue;
            }
            let seen = self.seen(failed.slot, now_ms);
            let mut instance = self.slots[failed.slot].as_mut();
            let acquired = instance
                .as_mut()
                .is_some_and(|instance| instance.try_acquire(now_ms, seen));
            if !acquired {
                self.refused += 1;
                continue;
            }
            if self.case.paused_ms.contains(&now_ms) {
                self.retry_times_ms.push(self.case.paused_ms.end);
                instance
                    .into_iter()
                    .for_each(|one| one.defer_arrival(now_ms));
            } else {
                self.retry_times_ms.push(now_ms);
            }
            self.send(failed.slot, failed.retries + 1, now_ms);
        }
    }

    /// Returns how many instances one takes for live.
    fn seen(&self, slot: usize, now_ms: u64) -> usize {
        let started_ms = self.slots[slot].as_ref().map(|one| one.started_ms);
        let is_new =
            started_ms.is_some_and(|started_ms| started_ms > 0 && now_ms < started_ms + JOIN_MS);
        if is_new || self.case.apart_ms.contains(&now_ms) {
            return 1;
        }
        let is_seen = |up_ms: &&Option<u64>| up_ms.is_some_and(|up_ms| now_ms < up_ms + DETECT_MS);
        self.up_ms.iter().filter(is_seen).count()
    }

    /// Returns the window that exceeds the budget by most.
    fn worst_window(&self) -> Window {
        let count = |times: &[u64], from_ms: u64| {
            let before = |ms: u64| times.partition_point(|time| *time < ms);
            before(from_ms + WINDOW_MS) - before(from_ms)
        };
        let mut worst = Window::default();
        for from_ms in (0..DURATION_MS - WINDOW_MS).step_by(CHECK_STEP_MS as usize) {
            let retries = count(&self.retry_times_ms, from_ms);
            let requests = [0, WINDOW_MS / 2, WINDOW_MS]
                .map(|back_ms| count(&self.request_times_ms, from_ms.saturating_sub(back_ms)));
            let most = requests.into_iter().max().unwrap_or_default();
            let window = Window {
                from_ms,
                retries,
                allowed: most as f64 * RATIO + FLOOR,
            };
            if worst.allowed == 0.0 || window.excess() > worst.excess() {
                worst = window;
            }
        }
        worst
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    from_ms: u64,
    retries: usize,
    allowed: f64,
}

impl Window {
    fn excess(&self) -> f64 {
        self.retries as f64 - self.allowed
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Window {
            from_ms,
            retries,
            allowed,
        } = self;
        write!(
            f,
            "{retries} retries of {allowed:.0} allowed from {from_ms} ms"
        )
    }
}

/// Rates of a service with few requests and of one with many.
const SLOW_PER_S: f64 = 2.0;
const MEDIUM_PER_S: f64 = 21.0;
const FAST_PER_S: f64 = 60.0;

/// A fleet so large that each instance has less than one retry of the floor.
const LARGE_FLEET: usize = 79;
const LARGE_FLEET_PER_S: f64 = 160.0;

fn cases(instances: usize, requests_per_s: f64) -> Vec<Case> {
    let case = |name| Case::new(name, instances, requests_per_s);
    let storm_ms = STORM_MS;
    let mut growing = case("the fleet grows from two");
    let mut shrinking = case("all but one end for good");
    let mut herd = case("all restart at once");
    let mut herds = case("all restart at once, twice");
    let pause_ms = storm_ms + 2_000..storm_ms + 9_000;
    let long_pause_ms = storm_ms + 2_000..storm_ms + 14_500;
    let mut herd_after_pause = case("all restart as endpoints resume").paused_ms(pause_ms.clone());
    for slot in 0..instances {
        herd_after_pause = herd_after_pause.restart(pause_ms.end, slot);
        herd = herd.restart(storm_ms + 3_000, slot);
        herds = herds.restart(storm_ms + 3_000, slot);
        herds = herds.restart(storm_ms + 7_000, slot);
        if slot >= 2 {
            growing = growing.event(storm_ms + 500 * slot as u64, slot, Change::Start);
        }
        if slot >= 1 {
            shrinking = shrinking.event(storm_ms + 2_000, slot, Change::Kill);
        }
    }
    vec![
        case("steady fleet"),
        case("half of the sends fail").failing(0.5),
        Case::new("one instance alone", 1, requests_per_s),
        Case::new("one instance restarts", 1, requests_per_s).restart_each(storm_ms, 2_500, 8),
        case("each restarts in turn").restart_each(storm_ms + 1_000, 1_500, 3),
        case("each restarts in quick turns").restart_each(storm_ms + 1_000, 400, 5),
        case("no instance sees another").apart_ms(storm_ms - 2_000..storm_ms + 20_000),
        case("all restart and see no other")
            .restart_each(storm_ms, STEP_MS, 1)
            .apart_ms(storm_ms - 1_000..storm_ms + 30_000),
        case("a burst before the storm").burst_ms(storm_ms - 8_000..storm_ms),
        case("a burst in the storm").burst_ms(storm_ms + 4_000..storm_ms + 9_000),
        growing,
        shrinking,
        herd,
        herds,
        case("endpoints pause").paused_ms(pause_ms.clone()),
        case("endpoints pause while each restarts in turn")
            .paused_ms(pause_ms.clone())
            .restart_each(pause_ms.start, 900, 3),
        case("endpoints pause for over a window while each restarts in turn")
            .paused_ms(long_pause_ms.clone())
            .restart_each(long_pause_ms.start, 900, 3),
        herd_after_pause,
    ]
}

#[test]
fn restarted_and_parted_instances_do_not_multiply_the_retry_budget() {
    let mut failures = Vec::new();
    for (instances, requests_per_s) in [
        (6, SLOW_PER_S),
        (6, MEDIUM_PER_S),
        (6, FAST_PER_S),
        (LARGE_FLEET, MEDIUM_PER_S),
        (LARGE_FLEET, LARGE_FLEET_PER_S),
    ] {
        for case in cases(instances, requests_per_s) {
            let mut worst = Window::default();
            let mut retries = 0;
            let mut requests = 0;
            for seed in 0..SEEDS {
                let fleet = Fleet::new(&case, seed).play();
                let window = fleet.worst_window();
                if worst.allowed == 0.0 || window.excess() > worst.excess() {
                    worst = window;
                }
                retries += fleet.retry_times_ms.len();
                requests += fleet.request_times_ms.len();
            }
            let line = format!(
                "{}, {} instances, {requests_per_s} a second: {worst}",
                case.name, case.instances
            );
            println!("{line}; in all {retries} retries of {requests} requests");
            if worst.excess() > 0.0 {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// The share of sends that fail when one endpoint of three does.
const FAILING_THIRD: f64 = 1.0 / 3.0;

/// The largest share of requests without a retry for lack of budget in that case.
const MAX_REFUSED_SHARE: f64 = 0.001;

#[test]
fn a_steady_fleet_retries_the_requests_that_one_endpoint_of_three_fails() {
    for (instances, requests_per_s) in [
        (1, SLOW_PER_S),
        (1, FAST_PER_S),
        (6, SLOW_PER_S),
        (6, MEDIUM_PER_S),
        (6, FAST_PER_S),
    ] {
        let case = Case::new("steady", instances, requests_per_s);
        let case = case.failing(FAILING_THIRD).max_retries(MAX_RUN_RETRIES);
        let mut refused = 0;
        let mut requests = 0;
        for seed in 0..SEEDS {
            let fleet = Fleet::new(&case, seed).play();
            refused += fleet.refused;
            requests += fleet.request_times_ms.len();
        }
        let what = format!("{instances} instances, {requests_per_s} a second");
        let share = refused as f64 / requests as f64;
        assert!(
            share <= MAX_REFUSED_SHARE,
            "{what}: {refused} of {requests}"
        );
    }
}

/// The least share of the requests that a fleet may retry in a storm, as a part of the ratio.
const MIN_USED_RATIO: f64 = 0.7;

#[test]
fn a_storm_may_use_most_of_the_retry_budget() {
    for requests_per_s in [SLOW_PER_S, MEDIUM_PER_S, FAST_PER_S] {
        let case = Case::new("steady", 6, requests_per_s);
        let fleet = Fleet::new(&case, 0).play();
        let in_storm = |times: &[u64]| times.iter().filter(|time| **time >= STORM_MS).count();
        let retries = in_storm(&fleet.retry_times_ms);
        let requests = in_storm(&fleet.request_times_ms);
        assert!(
            retries as f64 >= requests as f64 * RATIO * MIN_USED_RATIO,
            "{retries} of {requests} at {requests_per_s} a second"
        );
    }
}
