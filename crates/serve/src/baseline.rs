//! Latency baselines by service and model size, and the pressure on each service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use policy::Pressure;

/// Weight of the latest sample in the moving averages.
const SMOOTHING: f64 = 0.05;

/// Quantile of the times per prompt token that counts as undisturbed reading. Most samples include
/// waiting for other prompts.
const READ_QUANTILE: f64 = 0.2;

/// Step by which one sample moves the quantile estimate, relative to the estimate.
const READ_STEP: f64 = 0.2;

/// Shortest prompt that is sampled, in tokens. The times of shorter ones show the fixed cost of a
/// request.
const MIN_SAMPLED_PROMPT_TOKENS: u32 = 4_000;

/// Time to read one prompt token before the first sample, in milliseconds: 100 tokens per
/// millisecond of prefill.
const DEFAULT_READ_TOKEN_MS: f64 = 0.01;

/// Requests whose latencies are compared with one another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BaselineKey {
    pub(crate) service: Arc<str>,
    /// Index of the model size in the route.
    pub(crate) size: Option<usize>,
}

/// Latency estimates for one key, in milliseconds.
#[derive(Debug, Default)]
struct Baseline {
    answer_ms: Option<f64>,
    event_ms: Option<f64>,
    read_token_ms: Option<f64>,
}

/// Running latency estimates by service and model size.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    by_key: RefCell<HashMap<BaselineKey, Baseline>>,
    pressures: RefCell<HashMap<Arc<str>, Pressure>>,
}

impl LatencyBaselines {
    /// Records the time of a whole answer and returns its ratio to the previous baseline.
    pub(crate) fn record_answer(&self, key: &BaselineKey, answer_ms: f64) -> f64 {
        let mut baselines = self.by_key.borrow_mut();
        update_mean(
            &mut baselines.entry(key.clone()).or_default().answer_ms,
            answer_ms,
        )
    }

    /// Records the time per event and returns its ratio to the previous baseline.
    pub(crate) fn record_event(&self, key: &BaselineKey, event_ms: f64) -> f64 {
        let mut baselines = self.by_key.borrow_mut();
        update_mean(
            &mut baselines.entry(key.clone()).or_default().event_ms,
            event_ms,
        )
    }

    /// Returns the baseline of the time per event, in milliseconds.
    pub(crate) fn event_ms(&self, key: &BaselineKey) -> Option<f64> {
        self.by_key.borrow().get(key)?.event_ms
    }

    /// Records the time to the first event for a prompt, unless the prompt is too short to sample.
    pub(crate) fn record_prompt(&self, key: &BaselineKey, prompt_tokens: u32, first_ms: f64) {
        if prompt_tokens < MIN_SAMPLED_PROMPT_TOKENS {
            return;
        }
        let token_ms = first_ms / f64::from(prompt_tokens);
        let mut baselines = self.by_key.borrow_mut();
        let baseline = baselines.entry(key.clone()).or_default();
        update_quantile(&mut baseline.read_token_ms, token_ms);
    }

    /// Estimates how long an otherwise idle endpoint reads a prompt, in milliseconds.
    pub(crate) fn reading_ms(&self, key: &BaselineKey, prompt_tokens: u32) -> f64 {
        let baselines = self.by_key.borrow();
        let token_ms = baselines
            .get(key)
            .and_then(|baseline| baseline.read_token_ms);
        token_ms.unwrap_or(DEFAULT_READ_TOKEN_MS) * f64::from(prompt_tokens)
    }

    /// Records the share of its objective that the largest model took to the first event.
    pub(crate) fn record_objective_share(&self, service: &Arc<str>, share: f64) {
        let mut pressures = self.pressures.borrow_mut();
        pressures.entry(service.clone()).or_default().record(share);
    }

    /// Returns the pressure on a service, from 0 to 1.
    pub(crate) fn pressure(&self, service: &Arc<str>) -> f64 {
        let pressures = self.pressures.borrow();
        pressures.get(service).map_or(0.0, Pressure::value)
    }
}

/// Updates a moving average and returns the ratio of the sample to the previous average.
fn update_mean(mean: &mut Option<f64>, time_ms: f64) -> f64 {
    let previous = mean.unwrap_or(time_ms);
    *mean = Some(previous + SMOOTHING * (time_ms - previous));
    if previous > 0.0 {
        time_ms / previous
    } else {
        1.0
    }
}

/// Updates a quantile estimate by the method of H. Robbins and S. Monro, 1951.
fn update_quantile(estimate: &mut Option<f64>, time_ms: f64) {
    let previous = estimate.unwrap_or(time_ms);
    let step = if time_ms < previous {
        READ_QUANTILE - 1.0
    } else {
        READ_QUANTILE
    };
    *estimate = Some(previous * (1.0 + READ_STEP * step));
}
