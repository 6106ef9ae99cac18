//! Learned speed of endpoints that differ for longer than a few requests.
//!
//! It addresses pools with endpoints of several speeds and short disturbances on top, where one
//! instance sees an endpoint a few times in a minute, so that only the samples of a whole fleet tell
//! the speeds apart.

/// Time in which samples lose all but 1/e of their weight, in milliseconds.
const DECAY_MS: f64 = 10_000.0;

/// Bounds on a single sample as a log ratio: a stream that stalls is no sign of a slow endpoint.
const MAX_LOG_RATIO: f64 = 1.6;

/// Largest weight that one report may state: more than a fleet's samples of an endpoint add up to.
const MAX_WEIGHT: f64 = 10_000.0;

/// Weight below which the samples are as good as forgotten.
const MIN_WEIGHT: f64 = 0.5;

/// Samples of the same second are disturbed alike, so that there are no more independent ones than
/// seconds, up to those that the decay keeps.
const INDEPENDENT_SAMPLE_MS: f64 = 1_000.0;
const MAX_INDEPENDENT: f64 = 2.0 * DECAY_MS / INDEPENDENT_SAMPLE_MS;

/// Fewest independent samples of an endpoint, and fewest endpoints, that are compared.
const MIN_INDEPENDENT: f64 = 5.0;
const MIN_ENDPOINTS: usize = 3;

/// Smallest variance of samples. Equal samples would show any difference to be certain.
const MIN_VARIANCE: f64 = 0.01;

/// Difference of the log ratios that equal endpoints show, for example by their loads.
const EVEN_DIFFERENCE: f64 = 0.1;

/// Number of standard errors within which a difference of all endpoints may be chance.
const CERTAIN_ERRORS: f64 = 3.0;

/// The same for one endpoint among many, and the fewest independent samples. Short disturbances are
/// rare and strong, so that a few of them in a row exceed four errors of fewer samples.
const CERTAIN_ERRORS_ALONE: f64 = 4.0;
const MIN_INDEPENDENT_ALONE: f64 = 10.0;

/// Decayed sums of the samples of one endpoint, which can be added up over instances.
///
/// A sample is the logarithm of the time that some work took, relative to the usual time of such
/// work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceSums {
    /// Sum of the weights.
    pub weight: f64,
    /// Weighted sum of the log ratios.
    pub log_sum: f64,
    /// Weighted sum of the squares of the log ratios.
    pub square_sum: f64,
}

impl PaceSums {
    /// Creates sums from the mean and the mean square of the log ratios, within the possible bounds.
    pub fn from_means(weight: f64, mean_log: f64, mean_square: f64) -> PaceSums {
        if !(weight.is_finite() && mean_log.is_finite() && mean_square.is_finite()) {
            return PaceSums::default();
        }
        let weight = weight.clamp(0.0, MAX_WEIGHT);
        let mean_log = mean_log.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let least_square = mean_log * mean_log;
        PaceSums {
            weight,
            log_sum: weight * mean_log,
            square_sum: weight * mean_square.clamp(least_square, MAX_LOG_RATIO * MAX_LOG_RATIO),
        }
    }

    /// Returns the mean log ratio, or 0 without samples.
    pub fn mean_log(&self) -> f64 {
        if self.weight > 0.0 {
            self.log_sum / self.weight
        } else {
            0.0
        }
    }

    /// Returns the mean square of the log ratios, or 0 without samples.
    pub fn mean_square(&self) -> f64 {
        if self.weight > 0.0 {
            self.square_sum / self.weight
        } else {
            0.0
        }
    }

    /// Adds the samples of another instance.
    pub fn add(&mut self, other: &PaceSums) {
        self.weight += other.weight;
        self.log_sum += other.log_sum;
        self.square_sum += other.square_sum;
    }

    /// Returns the sums after some time without samples.
    pub fn after_ms(&self, elapsed_ms: u64) -> PaceSums {
        let kept = (-(elapsed_ms as f64) / DECAY_MS).exp();
        PaceSums {
            weight: self.weight * kept,
            log_sum: self.log_sum * kept,
            square_sum: self.square_sum * kept,
        }
    }
}

/// Time that one endpoint takes relative to the usual time of the same work.
///
/// # Examples
///
/// ```
/// use limits::EndpointPace;
///
/// let mut pace = EndpointPace::default();
/// for second in 0..10 {
///     pace.record(2.0, 1.0, second * 1_000);
/// }
/// assert!((pace.ratio() - 2.0).abs() < 1e-9);
/// assert!(pace.error(10_000) < 0.1);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointPace {
    sums: PaceSums,
    updated_ms: u64,
    /// When the first of the samples was recorded.
    since_ms: Option<u64>,
}

impl EndpointPace {
    /// Records that work took `time_ratio` times as long as usual. A weight of 1 is that of a second
    /// or more of events.
    pub fn record(&mut self, time_ratio: f64, weight: f64, now_ms: u64) {
        if !(time_ratio.is_finite() && time_ratio > 0.0 && weight > 0.0) {
            return;
        }
        let log = time_ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let mut sums = self.sums(now_ms);
        sums.add(&PaceSums::from_means(weight, log, log * log));
        self.replace(sums, now_ms);
    }

    /// Replaces the samples by others of the same endpoint, such as those of the whole fleet.
    pub fn replace(&mut self, sums: PaceSums, now_ms: u64) {
        let was_known = self.sums(now_ms).weight >= MIN_WEIGHT;
        if !was_known || self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
        }
        self.sums = sums;
        self.updated_ms = now_ms;
    }

    /// Returns the sums of the samples as they weigh now.
    pub fn sums(&self, now_ms: u64) -> PaceSums {
        self.sums.after_ms(now_ms.saturating_sub(self.updated_ms))
    }

    /// Returns the mean ratio of the samples, 1 without any.
    pub fn ratio(&self) -> f64 {
        self.sums.mean_log().exp()
    }

    /// Returns the standard error of the logarithm of the ratio, as the samples of this endpoint
    /// show it; infinite without any.
    pub fn error(&self, now_ms: u64) -> f64 {
        self.standard_error(self.variance(), now_ms)
    }

    fn standard_error(&self, variance: f64, now_ms: u64) -> f64 {
        (variance.max(MIN_VARIANCE) / self.independent(now_ms)).sqrt()
    }

    fn variance(&self) -> f64 {
        let mean_log = self.sums.mean_log();
        (self.sums.mean_square() - mean_log * mean_log).max(0.0)
    }

    /// Returns the number of independent samples.
    fn independent(&self, now_ms: u64) -> f64 {
        let Some(since_ms) = self.since_ms else {
            return 0.0;
        };
        let weight = self.sums(now_ms).weight;
        if weight < MIN_WEIGHT {
            return 0.0;
        }
        let spans = now_ms.saturating_sub(since_ms) as f64 / INDEPENDENT_SAMPLE_MS;
        weight.min(spans).min(MAX_INDEPENDENT)
    }
}

/// Returns the times of endpoints that run the same version relative to one another, each `None` if
/// too little is known of it or if it does not differ from the others.
///
/// What all samples have in common cancels. A difference counts as far as the endpoints together
/// differ by more than their errors and what equal endpoints show, or if it is certain for the
/// endpoint alone. Equal endpoints thus get `None`.
pub fn time_ratios(paces: &[EndpointPace], now_ms: u64) -> Vec<Option<f64>> {
    let mut ratios = vec![None; paces.len()];
    let mut known: Vec<usize> = (0..paces.len()).collect();
    known.retain(|index| paces[*index].independent(now_ms) >= MIN_INDEPENDENT);
    if known.len() < MIN_ENDPOINTS {
        return ratios;
    }
    let count = known.len() as f64;
    let mean_over = |value: &dyn Fn(&EndpointPace) -> f64| {
        let sum: f64 = known.iter().map(|index| value(&paces[*index])).sum();
        sum / count
    };
    let mean_log = mean_over(&|pace| pace.sums.mean_log());
    // Samples are relative to the usual time over all requests, and fast endpoints run more of them.
    let weight = mean_over(&|pace| pace.sums(now_ms).weight);
    let log_sum = mean_over(&|pace| pace.sums(now_ms).log_sum);
    let usual_log = log_sum / weight.max(f64::MIN_POSITIVE);
    let variance = mean_over(&EndpointPace::variance);
    let square_error = mean_over(&|pace| pace.standard_error(variance, now_ms).powi(2));
    let spread = mean_over(&|pace| (pace.sums.mean_log() - mean_log).powi(2));
    // The mean of the squares of `count` errors varies by this part of it.
    let variation = (2.0 / (count - 1.0)).sqrt();
    let even_spread =
        square_error * (1.0 + CERTAIN_ERRORS * variation) + EVEN_DIFFERENCE * EVEN_DIFFERENCE;
    let common_part = 1.0 - (even_spread / spread.max(f64::MIN_POSITIVE)).min(1.0);
    for index in known {
        let difference = paces[index].sums.mean_log() - mean_log;
        let error = paces[index].standard_error(variance, now_ms);
        let bound = CERTAIN_ERRORS_ALONE * error + EVEN_DIFFERENCE;
        let mut part = common_part;
        if paces[index].independent(now_ms) >= MIN_INDEPENDENT_ALONE {
            // A difference counts in part from the bound on, and as a whole from twice the bound.
            part = part.max((difference.abs() / bound - 1.0).min(1.0));
        }
        if part > 0.0 {
            let ratio = (paces[index].sums.mean_log() - usual_log) * part;
            ratios[index] = Some(ratio.exp());
        }
    }
    ratios
}
