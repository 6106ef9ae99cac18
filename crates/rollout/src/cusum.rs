//! A sequential test that detects a rise in the share of an event.

/// The two hypotheses of a test and its decision threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CusumSettings {
    /// The share of events under the normal hypothesis, from 0 to 1.
    pub normal_share: f64,
    /// The share of events under the bad hypothesis, from 0 to 1.
    pub bad_share: f64,
    /// The evidence, in nats, at which the share counts as bad.
    pub threshold_nats: f64,
}

/// Page's CUSUM test on Bernoulli events, with a second sum of the evidence for the normal share.
///
/// Source: E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
///
/// # Examples
///
/// ```
/// use rollout::{Cusum, CusumSettings};
///
/// let settings = CusumSettings { normal_share: 0.1, bad_share: 0.4, threshold_nats: 4.0 };
/// let mut test = Cusum::new(settings);
/// test.record(8, 0);
/// assert!(test.is_bad());
/// ```
#[derive(Debug, Clone)]
pub struct Cusum {
    settings: CusumSettings,
    /// The log-likelihood ratio of bad to normal, reset to zero whenever it becomes negative.
    cusum_nats: f64,
    /// The log-likelihood ratio of bad to normal since the step began.
    step_nats: f64,
}

/// The smallest share that is tested, which keeps the logarithms finite.
const MIN_SHARE: f64 = 1e-4;

impl Cusum {
    /// Starts a test without evidence; shares out of range are clamped.
    pub fn new(settings: CusumSettings) -> Cusum {
        let normal_share = settings.normal_share.clamp(MIN_SHARE, 0.9);
        let bad_share = settings.bad_share.clamp(normal_share + MIN_SHARE, 0.99);
        Cusum {
            settings: CusumSettings {
                normal_share,
                bad_share,
                ..settings
            },
            cusum_nats: 0.0,
            step_nats: 0.0,
        }
    }

    /// Records a batch of trials in which the event occurred and in which it did not.
    pub fn record(&mut self, occurred: u64, absent: u64) {
        let CusumSettings {
            normal_share,
            bad_share,
            ..
        } = self.settings;
        let up = (bad_share / normal_share).ln() * occurred as f64;
        let down = ((1.0 - bad_share) / (1.0 - normal_share)).ln() * absent as f64;
        self.step_nats += up + down;
        // The order within a batch is unknown. Adding the occurrences last gives the higher sum,
        // which stops a bad version sooner.
        self.cusum_nats = (self.cusum_nats + down).max(0.0) + up;
    }

    /// Returns whether the share counts as bad.
    pub fn is_bad(&self) -> bool {
        self.cusum_nats >= self.settings.threshold_nats
    }

    /// Returns the evidence since the step began, in nats, that the share is normal.
    pub fn normal_evidence(&self) -> f64 {
        -self.step_nats
    }

    /// Resets the evidence for the normal share; the evidence for the bad share is kept.
    pub fn begin_step(&mut self) {
        self.step_nats = 0.0;
    }
}
