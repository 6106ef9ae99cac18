//! An estimate of the share of good outcomes that decays slowly.

/// The weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 8.0;

/// The factor on the weight of earlier observations with each new one.
const DECAY: f64 = 0.999;

/// The estimated share of good outcomes, combined with a prior when it is read.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    good: f64,
    bad: f64,
}

impl Estimate {
    /// Records an outcome.
    pub fn record(&mut self, good: bool) {
        self.good *= DECAY;
        self.bad *= DECAY;
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    /// Returns the decayed number of observations.
    pub fn weight(&self) -> f64 {
        self.good + self.bad
    }

    /// Returns the mean of the observations and the prior, from 0 to 1.
    pub fn mean(&self, prior: f64) -> f64 {
        (self.good + prior * PRIOR_WEIGHT) / (self.weight() + PRIOR_WEIGHT)
    }

    /// Returns the standard error of the mean.
    pub fn standard_error(&self, prior: f64) -> f64 {
        let mean = self.mean(prior);
        (mean * (1.0 - mean) / (self.weight() + PRIOR_WEIGHT)).sqrt()
    }
}
