//! Latency baselines by service and model size, and the scarcity of each service's engine time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use policy::Scarcity;

/// Smallest weight of the latest sample in the moving averages.
const SMOOTHING: f64 = 0.05;

/// Largest effect of one sample on a moving average, relative to the average. Otherwise the answers of
/// a slow version soon make themselves the usual ones.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Quantile of the times to a first event that counts as undisturbed. Most samples include waiting
/// for other prompts.
const UNDISTURBED_QUANTILE: f64 = 0.1;

/// Factor by which a running minimum rises with each sample, so that it follows a slower service.
const MINIMUM_RISE: f64 = 1.005;

/// Smallest part of the time to a first event that counts as reading.
const MIN_READING_PART: f64 = 0.2;

/// Step by which one sample moves a quantile estimate, relative to the estimate.
const QUANTILE_STEP: f64 = 0.1;

/// Fewest tokens of a sampled prompt. The times of shorter ones show the fixed cost of a request.
const MIN_SAMPLED_TOKENS: u32 = 1_000;

/// Time to read one prompt token before the first sample, in milliseconds: 100 tokens per
/// millisecond of prefill.
const DEFAULT_READ_TOKEN_MS: f64 = 0.01;

/// Time of a run relative to that of the next larger size, before both were sampled.
const DEFAULT_TIME_STEP: f64 = 0.3;

/// Requests whose latencies are compared with one another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BaselineKey {
    pub(crate) service: Arc<str>,
    /// Index of the model size in the route.
    pub(crate) size: Option<usize>,
}

/// Moving average of times.
#[derive(Debug, Default)]
struct MovingMean {
    mean_ms: Option<f64>,
    sample_count: u32,
}

impl MovingMean {
    /// Adds a sample and returns its ratio to the previous average. The first samples weigh the same.
    fn record(&mut self, time_ms: f64) -> f64 {
        let previous_ms = self.mean_ms.unwrap_or(time_ms);
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.sample_count));
        // An average of few samples, or of none that took any time, bounds nothing.
        let is_settled = weight <= SMOOTHING && previous_ms > 0.0;
        let sample_ms = if is_settled {
            time_ms.min(previous_ms * MAX_SAMPLE_RATIO)
        } else {
            time_ms
        };
        self.mean_ms = Some(previous_ms + weight * (sample_ms - previous_ms));
        if previous_ms > 0.0 {
            time_ms / previous_ms
        } else {
            1.0
        }
    }
}

/// Latency estimates for one key, in milliseconds.
#[derive(Debug, Default)]
struct Baseline {
    answer: MovingMean,
    event: MovingMean,
    read_token_ms: Option<f64>,
}

/// Running latency estimates by service and model size.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    by_key: RefCell<HashMap<BaselineKey, Baseline>>,
    fixed_ms: RefCell<HashMap<Arc<str>, Option<f64>>>,
    scarcities: RefCell<HashMap<Arc<str>, Scarcity>>,
}

impl LatencyBaselines {
    /// Records the time of a whole answer and returns its ratio to the previous baseline.
    pub(crate) fn record_answer(&self, key: &BaselineKey, answer_ms: f64) -> f64 {
        let mut baselines = self.by_key.borrow_mut();
        let baseline = baselines.entry(key.clone()).or_default();
        baseline.answer.record(answer_ms)
    }

    /// Records the time per event and returns its ratio to the previous baseline.
    pub(crate) fn record_event(&self, key: &BaselineKey, event_ms: f64) -> f64 {
        let mut baselines = self.by_key.borrow_mut();
        let baseline = baselines.entry(key.clone()).or_default();
        baseline.event.record(event_ms)
    }

    /// Returns the baseline of the time per event, in milliseconds, or `None` while no stream took any.
    pub(crate) fn event_ms(&self, key: &BaselineKey) -> Option<f64> {
        let baselines = self.by_key.borrow();
        let event_ms = baselines.get(key)?.event.mean_ms;
        event_ms.filter(|event_ms| *event_ms > 0.0)
    }

    /// Records the time to the first event of a prompt, of which `new_tokens` were certainly not
    /// cached.
    pub(crate) fn record_prompt(
        &self,
        key: &BaselineKey,
        prompt_tokens: u32,
        new_tokens: u32,
        first_ms: f64,
    ) {
        let mut fixed_times = self.fixed_ms.borrow_mut();
        let fixed_ms = fixed_times.entry(key.service.clone()).or_default();
        if prompt_tokens < MIN_SAMPLED_TOKENS {
            let lowest_ms = fixed_ms.map_or(first_ms, |lowest_ms| lowest_ms * MINIMUM_RISE);
            *fixed_ms = Some(lowest_ms.min(first_ms));
        }
        if new_tokens < MIN_SAMPLED_TOKENS {
            return;
        }
        let reading_ms = first_ms - fixed_ms.unwrap_or_default();
        let reading_ms = reading_ms.max(first_ms * MIN_READING_PART);
        let token_ms = reading_ms / f64::from(new_tokens);
        let mut baselines = self.by_key.borrow_mut();
        let baseline = baselines.entry(key.clone()).or_default();
        update_quantile(&mut baseline.read_token_ms, token_ms);
    }

    /// Estimates how long an otherwise idle endpoint reads a number of tokens, in milliseconds.
    pub(crate) fn reading_ms(&self, key: &BaselineKey, tokens: u32) -> f64 {
        let baselines = self.by_key.borrow();
        let token_ms = baselines
            .get(key)
            .and_then(|baseline| baseline.read_token_ms);
        token_ms.unwrap_or(DEFAULT_READ_TOKEN_MS) * f64::from(tokens)
    }

    /// Returns the time to a first event that does not depend on the prompt, in milliseconds.
    pub(crate) fn fixed_ms(&self, service: &Arc<str>) -> f64 {
        let fixed_times = self.fixed_ms.borrow();
        fixed_times
            .get(service)
            .copied()
            .flatten()
            .unwrap_or_default()
    }

    /// Returns the time of a run of each of `count` sizes, relative to the largest.
    pub(crate) fn relative_times(&self, service: &Arc<str>, count: usize) -> Vec<f64> {
        let baselines = self.by_key.borrow();
        let token_ms = |size: usize| {
            let key = BaselineKey {
                service: service.clone(),
                size: Some(size),
            };
            baselines.get(&key)?.read_token_ms
        };
        let largest_ms = token_ms(count.saturating_sub(1));
        let mut times = Vec::with_capacity(count);
        for size in 0..count {
            let steps = (count - 1 - size) as i32;
            let time = match (token_ms(size), largest_ms) {
                (Some(size_ms), Some(largest_ms)) if largest_ms > 0.0 => size_ms / largest_ms,
                _ => DEFAULT_TIME_STEP.powi(steps),
            };
            times.push(time.min(1.0));
        }
        times
    }

    /// Records how long a request waited for its first event beyond undisturbed reading.
    pub(crate) fn record_wait(
        &self,
        service: &Arc<str>,
        wait_ms: f64,
        objective_ms: f64,
        now_ms: u64,
    ) {
        let mut scarcities = self.scarcities.borrow_mut();
        let scarcity = scarcities.entry(service.clone()).or_default();
        scarcity.record(wait_ms, objective_ms, now_ms);
    }

    /// Returns the mean wait for a service's engines, as a share of the latency objective.
    pub(crate) fn wait_share(&self, service: &Arc<str>) -> f64 {
        let scarcities = self.scarcities.borrow();
        scarcities.get(service).map_or(0.0, Scarcity::wait_share)
    }
}

/// Updates a quantile estimate by the method of H. Robbins and S. Monro, 1951.
fn update_quantile(estimate: &mut Option<f64>, time_ms: f64) {
    let previous = estimate.unwrap_or(time_ms);
    let step = if time_ms < previous {
        UNDISTURBED_QUANTILE - 1.0
    } else {
        UNDISTURBED_QUANTILE
    };
    *estimate = Some(previous * (1.0 + QUANTILE_STEP * step));
}
