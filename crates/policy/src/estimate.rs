//! A share of good outcomes that is learned and slowly forgotten.

/// How many observations a prior is worth.
const PRIOR_WEIGHT: f64 = 8.0;

/// The factor by which each observation ages the earlier ones.
const AGING: f64 = 0.999;

/// A learned share, to be read beside a prior.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    good: f64,
    bad: f64,
}

impl Estimate {
    /// Notes an outcome.
    pub fn record(&mut self, good: bool) {
        self.good *= AGING;
        self.bad *= AGING;
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    /// Returns the weight of the observations.
    pub fn weight(&self) -> f64 {
        self.good + self.bad
    }

    /// Returns the mean.
    pub fn mean(&self, prior: f64) -> f64 {
        (self.good + prior * PRIOR_WEIGHT) / (self.weight() + PRIOR_WEIGHT)
    }

    /// Returns the standard error of the mean.
    pub fn standard_error(&self, prior: f64) -> f64 {
        let mean = self.mean(prior);
        (mean * (1.0 - mean) / (self.weight() + PRIOR_WEIGHT)).sqrt()
    }
}
