//! One policy at one workspace.

use std::collections::VecDeque;
use std::sync::Arc;

use policy::{
    Candidate, EscalatedAnswer, Observation, Plan, Price, QualityEstimates, Query, RoutingPolicy,
};

use crate::bound::clairvoyant_cost;
use crate::world::{CLASSES, Phase, VERSIONS, Workspace, draw_answers, draw_class, mix};

/// Requests in one phase.
const PHASE_REQUESTS: usize = 60_000;

/// Requests at the start of each phase that are not judged.
const WARM_UP_REQUESTS: usize = 15_000;

/// The share of answers that are rated.
const SAMPLE_SHARE: f64 = 0.1;

/// Requests between an answer and its rating.
const RATING_LAG: usize = 300;

/// Requests over which recovery is judged.
const WINDOW: usize = 1_000;

/// How far below the target a window may be and count as recovered, two standard errors of a window.
const WINDOW_TOLERANCE: f64 = 0.017;

/// What came of one phase.
#[derive(Debug, Clone)]
pub struct PhaseOutcome {
    pub name: &'static str,
    pub target: f64,
    pub quality: f64,
    pub cost: f64,
    pub bound: f64,
}

/// What came of a trial.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub workspace: &'static str,
    pub phases: Vec<PhaseOutcome>,
    pub latency_ms: f64,
    /// Requests after the drift until a window is at the target again.
    pub recovery_requests: usize,
}

impl Outcome {
    pub fn cost(&self) -> f64 {
        self.phases.iter().map(|phase| phase.cost).sum::<f64>() / self.phases.len() as f64
    }

    pub fn cost_over_bound(&self) -> f64 {
        let bound: f64 = self.phases.iter().map(|phase| phase.bound).sum();
        self.phases.iter().map(|phase| phase.cost).sum::<f64>() / bound
    }
}

/// A rating on its way.
struct Late {
    at: usize,
    observation: Observation,
    /// Whether this was the request's last answer.
    last: bool,
}

/// One trial.
pub struct Trial<'a> {
    workspace: &'a Workspace,
    random: fastrand::Rng,
    learned: QualityEstimates,
    price: Price,
    late: VecDeque<Late>,
    candidates: Vec<Candidate>,
    now: usize,
}

/// The end of one request.
struct Step {
    good: bool,
    cost: f64,
    latency_ms: f64,
}

impl<'a> Trial<'a> {
    pub fn new(workspace: &'a Workspace, seed: u64) -> Trial<'a> {
        let mut candidates = Vec::new();
        for version in &VERSIONS {
            candidates.push(Candidate {
                version: version.name.into(),
                cost_micros: version.cost,
                prior: version.prior,
                unproven: false,
            });
        }
        Trial {
            workspace,
            random: fastrand::Rng::with_seed(seed),
            learned: QualityEstimates::default(),
            price: Price::new(500.0),
            late: VecDeque::new(),
            candidates,
            now: 0,
        }
    }

    pub fn run(mut self, policy: &str) -> Outcome {
        let policy = policy::find(policy).expect("the policy is registered");
        let mut outcome = Outcome {
            workspace: self.workspace.name,
            phases: Vec::new(),
            latency_ms: 0.0,
            recovery_requests: PHASE_REQUESTS,
        };
        for phase in Phase::ALL {
            self.phase(policy, phase, &mut outcome);
        }
        outcome.latency_ms /= (PHASE_REQUESTS * Phase::ALL.len()) as f64;
        outcome
    }

    fn phase(&mut self, policy: &dyn RoutingPolicy, phase: Phase, outcome: &mut Outcome) {
        let (mut good, mut cost) = (0, 0.0);
        let mut window = VecDeque::new();
        let mut recovered = phase != Phase::Drifted;
        for index in 0..PHASE_REQUESTS {
            let step = self.step(policy, phase);
            outcome.latency_ms += step.latency_ms;
            if index >= WARM_UP_REQUESTS {
                good += usize::from(step.good);
                cost += step.cost;
            }
            window.push_back(step.good);
            if window.len() <= WINDOW {
                continue;
            }
            window.pop_front();
            let share = window.iter().filter(|good| **good).count() as f64 / WINDOW as f64;
            if !recovered && share >= self.workspace.target - WINDOW_TOLERANCE {
                recovered = true;
                outcome.recovery_requests = index;
            }
        }
        let judged = (PHASE_REQUESTS - WARM_UP_REQUESTS) as f64;
        outcome.phases.push(PhaseOutcome {
            name: phase.name(),
            target: self.workspace.target,
            quality: good as f64 / judged,
            cost: cost / judged,
            bound: clairvoyant_cost(self.workspace, phase),
        });
    }

    fn step(&mut self, policy: &dyn RoutingPolicy, phase: Phase) -> Step {
        self.now += 1;
        self.take_ratings();
        let class = draw_class(&mix(self.workspace, phase), &mut self.random);
        let answers = draw_answers(class, phase, &mut self.random);
        let query = Query {
            class: CLASSES[class],
            quality_target: self.workspace.target,
            cascade: true,
            candidates: &self.candidates,
        };
        let decision = policy.plan(&query, &self.learned, self.price.micros(), &mut self.random);
        self.price
            .record_decision(decision.quality, self.workspace.target);
        let (first, then) = match decision.plan {
            Plan::Direct(first) => (first, None),
            Plan::Cascade {
                first,
                then,
                threshold,
            } if answers.confidence[first] < threshold => (first, Some(then)),
            Plan::Cascade { first, .. } => (first, None),
        };
        let rated = self.random.f64() < SAMPLE_SHARE;
        let last = then.is_none();
        self.observe(class, first, None, &answers, rated, last);
        let mut step = Step {
            good: answers.good[first],
            cost: VERSIONS[first].cost,
            latency_ms: VERSIONS[first].latency_ms,
        };
        if let Some(then) = then {
            self.observe(class, then, Some(first), &answers, rated, true);
            step.good = answers.good[then];
            step.cost += VERSIONS[then].cost;
            step.latency_ms += VERSIONS[then].latency_ms;
        }
        step
    }

    fn observe(
        &mut self,
        class: usize,
        version: usize,
        first: std::option::Option<usize>,
        answers: &crate::world::Answers,
        rated: bool,
        last: bool,
    ) {
        let name = |version: usize| -> Arc<str> { VERSIONS[version].name.into() };
        let mut observation = Observation {
            class: CLASSES[class].into(),
            version: name(version),
            escalated_from: first.map(|first| EscalatedAnswer {
                version: name(first),
                confidence: answers.confidence[first],
            }),
            confidence: Some(answers.confidence[version]),
            good: None,
        };
        self.learned.record(&observation);
        if rated {
            observation.good = Some(answers.good[version]);
            self.late.push_back(Late {
                at: self.now + RATING_LAG,
                observation,
                last,
            });
        }
    }

    fn take_ratings(&mut self) {
        while self.late.front().is_some_and(|late| late.at <= self.now) {
            let Some(late) = self.late.pop_front() else {
                return;
            };
            self.learned.record(&late.observation);
            if let Some(good) = late.observation.good.filter(|_| late.last) {
                self.price.record_rating(good, self.workspace.target);
            }
        }
    }
}
