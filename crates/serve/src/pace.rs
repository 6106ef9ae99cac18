//! What times are usual at a service, and how pressed it is.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use policy::Pressure;

/// The weight of the latest time in the running means.
const WEIGHT: f64 = 0.05;

/// The quantile of the times for one token that counts as reading undisturbed: most times hold waits
/// for other prompts.
const READ_QUANTILE: f64 = 0.2;

/// How far one time moves the estimate of the quantile, relative to it.
const READ_STEP: f64 = 0.2;

/// The shortest prompt that tells the time for one token; shorter ones tell what each request costs.
const MIN_READ_TOKENS: u32 = 4_000;

/// The time for one token before any was seen, in milliseconds: 100 tokens a millisecond, as the
/// users' engines read.
const USUAL_READ_MS: f64 = 0.01;

/// What a time is compared with.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Kind {
    pub(crate) service: Arc<str>,
    /// The size of the model.
    pub(crate) size: Option<usize>,
}

/// The usual times of one kind, in milliseconds.
#[derive(Debug, Default)]
struct Usual {
    answer_ms: Option<f64>,
    event_ms: Option<f64>,
    read_token_ms: Option<f64>,
}

/// Running estimates of times, by service and size of the model.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    usual: RefCell<HashMap<Kind, Usual>>,
    pressures: RefCell<HashMap<Arc<str>, Pressure>>,
}

impl Paces {
    /// Notes the time of a whole answer and returns it relative to what was usual.
    pub(crate) fn note_answer(&self, kind: &Kind, answer_ms: f64) -> f64 {
        let mut usual = self.usual.borrow_mut();
        follow(
            &mut usual.entry(kind.clone()).or_default().answer_ms,
            answer_ms,
        )
    }

    /// Notes the time between events and returns it relative to what was usual.
    pub(crate) fn note_event(&self, kind: &Kind, event_ms: f64) -> f64 {
        let mut usual = self.usual.borrow_mut();
        follow(
            &mut usual.entry(kind.clone()).or_default().event_ms,
            event_ms,
        )
    }

    /// Returns the usual time between events, in milliseconds.
    pub(crate) fn event_ms(&self, kind: &Kind) -> Option<f64> {
        self.usual.borrow().get(kind)?.event_ms
    }

    /// Notes how long the first event of a prompt took.
    pub(crate) fn note_reading(&self, kind: &Kind, prompt_tokens: u32, first_ms: f64) {
        if prompt_tokens < MIN_READ_TOKENS {
            return;
        }
        let token_ms = first_ms / f64::from(prompt_tokens);
        let mut usual = self.usual.borrow_mut();
        let usual = usual.entry(kind.clone()).or_default();
        follow_quantile(&mut usual.read_token_ms, token_ms);
    }

    /// Returns how long a prompt is read if nothing else is, in milliseconds.
    pub(crate) fn reading_ms(&self, kind: &Kind, prompt_tokens: u32) -> f64 {
        let usual = self.usual.borrow();
        let token_ms = usual.get(kind).and_then(|usual| usual.read_token_ms);
        token_ms.unwrap_or(USUAL_READ_MS) * f64::from(prompt_tokens)
    }

    /// Notes the part of its objective that a first event of the largest model took.
    pub(crate) fn note_first_share(&self, service: &Arc<str>, share: f64) {
        let mut pressures = self.pressures.borrow_mut();
        pressures.entry(service.clone()).or_default().record(share);
    }

    /// Returns how pressed a service is, from 0 to 1.
    pub(crate) fn pressure(&self, service: &Arc<str>) -> f64 {
        let pressures = self.pressures.borrow();
        pressures.get(service).map_or(0.0, Pressure::value)
    }
}

/// Moves a running mean and returns the time relative to what it was.
fn follow(mean: &mut Option<f64>, time_ms: f64) -> f64 {
    let held = mean.unwrap_or(time_ms);
    *mean = Some(held + WEIGHT * (time_ms - held));
    if held > 0.0 { time_ms / held } else { 1.0 }
}

/// Moves an estimate of a quantile by the method of H. Robbins and S. Monro, 1951.
fn follow_quantile(estimate: &mut Option<f64>, time_ms: f64) {
    let held = estimate.unwrap_or(time_ms);
    let step = if time_ms < held {
        READ_QUANTILE - 1.0
    } else {
        READ_QUANTILE
    };
    *estimate = Some(held * (1.0 + READ_STEP * step));
}
