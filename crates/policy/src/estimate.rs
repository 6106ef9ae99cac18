//! A share of good outcomes that is learned and slowly forgotten.

/// How many observations a prior is worth.
const PRIOR_WEIGHT: f64 = 8.0;

/// The factor by which each observation ages the earlier ones.
const AGING: f64 = 0.995;

/// A learned share with a prior.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    prior: f64,
    good: f64,
    bad: f64,
}

impl Estimate {
    /// Starts from a prior share.
    pub fn new(prior: f64) -> Estimate {
        Estimate {
            prior: prior.clamp(0.01, 0.99),
            good: 0.0,
            bad: 0.0,
        }
    }

    /// Notes an outcome.
    pub fn note(&mut self, good: bool) {
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
    pub fn mean(&self) -> f64 {
        (self.good + self.prior * PRIOR_WEIGHT) / (self.weight() + PRIOR_WEIGHT)
    }

    /// Returns the standard error of the mean.
    pub fn error(&self) -> f64 {
        let mean = self.mean();
        (mean * (1.0 - mean) / (self.weight() + PRIOR_WEIGHT)).sqrt()
    }
}
