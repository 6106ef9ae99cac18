//! Estimates of how many requests each size of a model answers well.

/// The confidence, from 0 to 100, at which an answer is as likely good as poor.
///
/// Whether an answer is good is never reported. The assumption is that a model's confidence is
/// centred: it is above the middle for the requests that the model answers well.
pub(crate) const EVEN_CONFIDENCE: u8 = 50;

/// Share of requests that a size other than the largest is assumed to answer well at first. The
/// largest is assumed to answer all.
const SMALLER_PRIOR: f64 = 0.5;

/// Weight of the prior, in samples.
const PRIOR_SAMPLES: f64 = 4.0;

/// Samples of a size below which it is tried on a larger share of the requests.
const MIN_SAMPLES: f64 = 6.0;

/// Share of the requests on which a size with too few samples is tried, and one with enough.
const FIRST_TRIAL_SHARE: f64 = 0.12;
const TRIAL_SHARE: f64 = 0.005;

/// The mean wait, as a share of the objective, from which no request has time for a trial.
const MAX_TRIAL_WAIT_SHARE: f64 = 0.2;

/// The lowest weight of a sample, so that the estimates follow a changed model.
const MIN_SAMPLE_WEIGHT: f64 = 0.005;

/// What is known about one size.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SizeEstimate {
    good_share: f64,
    samples: f64,
}

/// The share of all requests that each size answers well, learned from confidences.
///
/// A request that is too hard for one size is taken to be too hard for all smaller ones.
///
/// # Examples
///
/// ```
/// use policy::SizeEstimates;
///
/// let mut sizes = SizeEstimates::new(3);
/// assert_eq!(sizes.good_shares(), [0.5, 0.5, 1.0]);
/// sizes.record(None, 0, 80);
/// assert!(sizes.good_shares()[0] > 0.5);
/// ```
#[derive(Debug)]
pub struct SizeEstimates {
    sizes: Vec<SizeEstimate>,
}

impl SizeEstimates {
    /// Creates the estimates for a number of sizes, without samples.
    pub fn new(count: usize) -> SizeEstimates {
        let mut sizes = Vec::with_capacity(count);
        for index in 0..count {
            let is_largest = index + 1 == count;
            sizes.push(SizeEstimate {
                good_share: if is_largest { 1.0 } else { SMALLER_PRIOR },
                samples: 0.0,
            });
        }
        SizeEstimates { sizes }
    }

    fn samples(&self, size: usize) -> f64 {
        self.sizes[size].samples
    }

    /// Returns whether a request tries the smallest size although a larger one is the first of use,
    /// so that a change of the smallest one becomes known.
    pub fn tries_smaller(first_size: usize, uniform: f64) -> bool {
        first_size > 0 && uniform < TRIAL_SHARE
    }

    /// Records the confidence of a size in its answer, and the size that was unsure before it.
    pub fn record(&mut self, unsure_before: Option<usize>, size: usize, confidence: u8) {
        let is_sure = if confidence >= EVEN_CONFIDENCE {
            1.0
        } else {
            0.0
        };
        let sample = match unsure_before {
            // Of the requests that the smaller size is sure of, none is asked again.
            Some(smaller) => {
                let known = self.sizes[smaller].good_share;
                known + (1.0 - known) * is_sure
            }
            None => is_sure,
        };
        let estimate = &mut self.sizes[size];
        estimate.samples += 1.0;
        let weight = 1.0 / (PRIOR_SAMPLES + estimate.samples);
        let weight = weight.max(MIN_SAMPLE_WEIGHT);
        estimate.good_share += weight * (sample - estimate.good_share);
    }

    /// Returns a size between the given one and the largest to try next, for a small share of the
    /// requests, so that a size that no path uses becomes known.
    ///
    /// `wait_share` is the mean wait as a share of the latency objective, and `uniform` a random
    /// number from 0 to below 1.
    pub fn trial_size(&self, after: usize, wait_share: f64, uniform: f64) -> Option<usize> {
        if wait_share > MAX_TRIAL_WAIT_SHARE {
            return None;
        }
        let between = after + 1..self.sizes.len().saturating_sub(1);
        let size =
            between.min_by(|left, right| self.samples(*left).total_cmp(&self.samples(*right)))?;
        let share = if self.samples(size) < MIN_SAMPLES {
            FIRST_TRIAL_SHARE
        } else {
            TRIAL_SHARE
        };
        (uniform < share).then_some(size)
    }

    /// Returns the share of all requests that each size answers well, which never falls from a size
    /// to the next.
    pub fn good_shares(&self) -> Vec<f64> {
        let mut highest: f64 = 0.0;
        let mut shares = Vec::with_capacity(self.sizes.len());
        for size in &self.sizes {
            highest = highest.max(size.good_share);
            shares.push(highest);
        }
        shares
    }
}
