//! One roll-out.

use std::collections::VecDeque;
use std::sync::Arc;

use kernel::Incarnation;
use rollout::{
    Evidence, MonitorSettings, StepAction, StepController, StepState, allowance, exposure_cap,
};

/// Requests a second over all instances.
const RATE_PER_S: u64 = 50;

/// The steps of the roll-out.
const STEPS: [f64; 3] = [0.05, 0.25, 1.0];

/// The cap on unrated requests of the first step.
const MAX_UNRATED: u32 = 24;

/// The shortest step, in seconds.
const MIN_STEP_S: u64 = 180;

/// How long a step lasts where only weights and time decide, in seconds.
const STEP_S: u64 = 300;

/// The longest run, in seconds; an operator stops a bad version then.
const END_S: u64 = 1_800;

/// The version turns bad within this time, in seconds.
const TURN_WITHIN_S: u64 = 600;

/// The share of answers that are rated once the roll-out is done.
const DONE_SAMPLE_SHARE: f64 = 0.2;

/// The share of good answers of the proven version, and of the new one while it is good.
const GOOD_SHARE: f64 = 0.9;

/// The share of slow answers and of failures that is normal.
const SLOW_SHARE: f64 = 0.03;
const FAILED_SHARE: f64 = 0.002;

/// The window and the threshold of the error-rate breaker.
const BREAKER_WINDOW: usize = 100;
const BREAKER_SHARE: f64 = 0.05;

const CLASSES: [&str; 3] = ["default", "summary", "notice"];

/// How a roll-out is controlled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Ours,
    WeightsAlone,
    ErrorBreaker,
}

/// How a version turns bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    Slightly,
    Badly,
    OneClass,
    OnlySlow,
    Failing,
}

/// What came of a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Requests on the version after it turned bad.
    pub reached: u64,
    /// Seconds from the turn to the stop.
    pub stop_after_s: f64,
    /// Seconds to the end of the last step.
    pub done_after_s: f64,
    /// Whether the version was stopped.
    pub stopped: bool,
}

/// The way an answer comes out.
struct Answer {
    class: usize,
    good: bool,
    slow: bool,
    failed: bool,
}

/// A rating on its way.
struct Late {
    at_s: u64,
    instance: usize,
    class: usize,
    good: bool,
    counted: bool,
}

/// One roll-out.
pub struct Trial {
    way: Way,
    turn: Option<Turn>,
    turn_s: u64,
    lag_s: u64,
    random: fastrand::Rng,
    members: Vec<Incarnation>,
    evidence: Vec<Evidence>,
    unrated: Vec<u32>,
    late: VecDeque<Late>,
    recent: VecDeque<bool>,
    controller: StepController,
    classes: Vec<Arc<str>>,
    step: usize,
    step_since_s: u64,
    done: bool,
    outcome: Outcome,
}

impl Trial {
    pub fn new(way: Way, turn: Option<Turn>, lag_s: u64, instances: usize, seed: u64) -> Trial {
        let mut random = fastrand::Rng::with_seed(seed);
        let turn_s = random.u64(..TURN_WITHIN_S);
        let settings = MonitorSettings {
            bad_share: 1.0 - GOOD_SHARE,
            ..MonitorSettings::default()
        };
        Trial {
            way,
            turn,
            turn_s,
            lag_s,
            random,
            members: (1..=instances as u64).map(Incarnation::from_u64).collect(),
            evidence: vec![Evidence::default(); instances],
            unrated: vec![0; instances],
            late: VecDeque::new(),
            recent: VecDeque::new(),
            controller: StepController::new(settings),
            classes: CLASSES.into_iter().map(Arc::from).collect(),
            step: 0,
            step_since_s: 0,
            done: false,
            outcome: Outcome {
                reached: 0,
                stop_after_s: 0.0,
                done_after_s: END_S as f64,
                stopped: false,
            },
        }
    }

    pub fn run(mut self) -> Outcome {
        let end_s = if self.turn.is_some() {
            self.turn_s + END_S
        } else {
            END_S
        };
        for now_s in 0..end_s {
            self.second(now_s);
            if self.outcome.stopped {
                break;
            }
        }
        if !self.outcome.stopped {
            self.outcome.stop_after_s = END_S as f64;
        }
        self.outcome
    }

    fn second(&mut self, now_s: u64) {
        self.take_ratings(now_s);
        for _ in 0..RATE_PER_S {
            if self.random.f64() < STEPS[self.step] {
                self.request(now_s);
            }
        }
        let stop = match self.way {
            Way::Ours => self.control(now_s),
            Way::WeightsAlone => self.by_time(now_s),
            Way::ErrorBreaker => self.by_time(now_s) || self.breaker(),
        };
        if stop {
            self.outcome.stopped = true;
            self.outcome.stop_after_s = now_s.saturating_sub(self.turn_s) as f64;
        }
    }

    fn request(&mut self, now_s: u64) {
        let instance = self.random.usize(..self.members.len());
        let exposed = self.way == Way::Ours && !self.done;
        if exposed {
            let cap = exposure_cap(MAX_UNRATED, self.step);
            let allowed = allowance(cap, "bench", self.members[instance], &self.members);
            if self.unrated[instance] >= allowed {
                return;
            }
            self.unrated[instance] += 1;
        }
        let turned = self.turn.filter(|_| now_s >= self.turn_s);
        self.outcome.reached += u64::from(turned.is_some());
        let answer = self.answer(turned);
        let class = self.classes[answer.class].clone();
        let counts = self.evidence[instance].class_mut(&class);
        counts.failed += u64::from(answer.failed);
        counts.answered += u64::from(!answer.failed);
        counts.slow += u64::from(answer.slow && !answer.failed);
        self.recent.push_back(answer.failed);
        if self.recent.len() > BREAKER_WINDOW {
            self.recent.pop_front();
        }
        if answer.failed {
            self.unrated[instance] -= u32::from(exposed);
            return;
        }
        if exposed || self.random.f64() < DONE_SAMPLE_SHARE {
            let at_s = now_s + self.lag_s;
            let late = Late {
                at_s,
                instance,
                class: answer.class,
                good: answer.good,
                counted: exposed,
            };
            self.late.push_back(late);
        }
    }

    fn answer(&mut self, turned: Option<Turn>) -> Answer {
        let class = self.random.usize(..CLASSES.len());
        let good_share = match turned {
            Some(Turn::Slightly) => GOOD_SHARE - 0.15,
            Some(Turn::Badly) => 0.3,
            Some(Turn::OneClass) if class == 1 => 0.4,
            _ => GOOD_SHARE,
        };
        let slow_share = if turned == Some(Turn::OnlySlow) {
            0.5
        } else {
            SLOW_SHARE
        };
        let failed_share = if turned == Some(Turn::Failing) {
            0.3
        } else {
            FAILED_SHARE
        };
        Answer {
            class,
            good: self.random.f64() < good_share,
            slow: self.random.f64() < slow_share,
            failed: self.random.f64() < failed_share,
        }
    }

    fn take_ratings(&mut self, now_s: u64) {
        while self.late.front().is_some_and(|late| late.at_s <= now_s) {
            let Some(late) = self.late.pop_front() else {
                return;
            };
            self.unrated[late.instance] -= u32::from(late.counted);
            let class = self.classes[late.class].clone();
            let counts = self.evidence[late.instance].class_mut(&class);
            counts.good += u64::from(late.good);
            counts.bad += u64::from(!late.good);
        }
    }

    fn control(&mut self, now_s: u64) -> bool {
        for (member, evidence) in self.members.iter().zip(&self.evidence) {
            if !evidence.classes.is_empty() {
                self.controller.monitor.record(*member, evidence);
            }
        }
        let step = StepState {
            index: self.step,
            count: STEPS.len(),
            since_ms: self.step_since_s * 1000,
            min_ms: MIN_STEP_S * 1000,
            paused: false,
            done: self.done,
        };
        match self.controller.next_action(step, now_s * 1000) {
            StepAction::Wait => {}
            StepAction::Advance(index) => {
                self.step = index;
                self.step_since_s = now_s;
            }
            StepAction::Finish => self.finish(now_s),
            StepAction::Stop(_) => return true,
        }
        false
    }

    fn by_time(&mut self, now_s: u64) -> bool {
        if now_s < self.step_since_s + STEP_S || self.done {
            return false;
        }
        if self.step + 1 < STEPS.len() {
            self.step += 1;
            self.step_since_s = now_s;
        } else {
            self.finish(now_s);
        }
        false
    }

    fn breaker(&self) -> bool {
        let failed = self.recent.iter().filter(|failed| **failed).count();
        self.recent.len() == BREAKER_WINDOW && failed as f64 / BREAKER_WINDOW as f64 > BREAKER_SHARE
    }

    fn finish(&mut self, now_s: u64) {
        self.done = true;
        self.outcome.done_after_s = now_s as f64;
    }
}
