//! An estimate of a positive quantity whose logarithm is normally distributed.

use std::f64::consts::{PI, SQRT_2};

/// Standard deviation of the logarithm before the first samples: a factor of 1.6 either way.
const PRIOR_SPREAD: f64 = 0.5;

/// Weight of the prior spread, in samples.
const PRIOR_SAMPLES: f64 = 4.0;

/// The lowest weight of a sample, so that the estimate follows a changed load.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Samples below which there is no estimate.
const MIN_SAMPLES: f64 = 5.0;

/// Running mean and variance of the logarithms of samples.
///
/// # Examples
///
/// ```
/// use policy::LogEstimate;
///
/// let mut estimate = LogEstimate::default();
/// assert_eq!(estimate.median(), None);
/// for _ in 0..10 {
///     estimate.record(40.0);
/// }
/// assert!((estimate.median().unwrap() - 40.0).abs() < 0.001);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LogEstimate {
    mean: f64,
    variance: f64,
    samples: f64,
}

impl LogEstimate {
    /// Records a sample; one that is not positive and finite is ignored.
    pub fn record(&mut self, value: f64) {
        if value > 0.0 && value.is_finite() {
            self.add(value.ln());
        }
    }

    /// Records a quantity of which only a lower bound was seen, as a stream that was cut at its
    /// deadline.
    ///
    /// It counts as the mean of what exceeds the bound. Without such samples the estimate would
    /// be that of short answers only.
    pub fn record_at_least(&mut self, bound: f64) {
        if bound <= 0.0 || !bound.is_finite() || self.median().is_none() {
            return;
        }
        let spread = self.spread();
        let deviation = (bound.ln() - self.mean) / spread;
        self.add(self.mean + spread * mean_above(deviation));
    }

    /// Returns the median, or `None` while there are too few samples.
    pub fn median(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| self.mean.exp())
    }

    /// Returns the standard deviation of the logarithm.
    pub fn spread(&self) -> f64 {
        let prior = PRIOR_SAMPLES / (PRIOR_SAMPLES + self.samples);
        (self.variance + prior * (PRIOR_SPREAD * PRIOR_SPREAD - self.variance)).sqrt()
    }

    fn add(&mut self, logarithm: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        let deviation = logarithm - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }
}

/// Returns the share of a normal distribution below a number of standard deviations.
///
/// The approximation of the error function is 7.1.26 of Abramowitz and Stegun, with an error below
/// 2e-7.
pub(crate) fn normal_share(deviations: f64) -> f64 {
    let x = deviations.abs() / SQRT_2;
    let t = 1.0 / (1.0 + 0.327_591_1 * x);
    let polynomial = 1.061_405_429_f64
        .mul_add(t, -1.453_152_027)
        .mul_add(t, 1.421_413_741)
        .mul_add(t, -0.284_496_736)
        .mul_add(t, 0.254_829_592);
    let above = 0.5 * polynomial * t * (-x * x).exp();
    if deviations > 0.0 { 1.0 - above } else { above }
}

/// Returns the mean of the part of a normal distribution above a number of standard deviations.
fn mean_above(deviations: f64) -> f64 {
    let above = 1.0 - normal_share(deviations);
    if above < 1e-4 {
        // The mean lies barely above the bound, and the quotient loses its precision.
        return deviations + 1.0 / deviations.max(1.0);
    }
    let density = (-0.5 * deviations * deviations).exp() / (2.0 * PI).sqrt();
    density / above
}
