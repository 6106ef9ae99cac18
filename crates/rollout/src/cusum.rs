//! A sequential test for a share that rises.

/// What a test takes for normal and for bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CusumSettings {
    /// The share of events that is normal.
    pub normal_share: f64,
    /// The share of events that is bad.
    pub bad_share: f64,
    /// The evidence, in nats, at which the share counts as bad.
    pub threshold_nats: f64,
}

/// Page's test on Bernoulli events, with a second sum that shows how sure the normal case is.
///
/// Source: E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
///
/// # Examples
///
/// ```
/// use rollout::{Cusum, CusumSettings};
///
/// let mut test = Cusum::new(CusumSettings { normal_share: 0.1, bad_share: 0.4, threshold_nats: 4.0 });
/// test.record(8, 0);
/// assert!(test.is_bad());
/// ```
#[derive(Debug, Clone)]
pub struct Cusum {
    settings: CusumSettings,
    raised: f64,
    whole: f64,
}

/// The least share, which keeps logarithms finite.
const MIN_SHARE: f64 = 1e-4;

impl Cusum {
    /// Starts a test.
    pub fn new(settings: CusumSettings) -> Cusum {
        let normal = settings.normal_share.clamp(MIN_SHARE, 0.9);
        let bad = settings.bad_share.clamp(normal + MIN_SHARE, 0.99);
        Cusum {
            settings: CusumSettings {
                normal_share: normal,
                bad_share: bad,
                ..settings
            },
            raised: 0.0,
            whole: 0.0,
        }
    }

    /// Takes in events that happened and events that did not.
    pub fn record(&mut self, happened: u64, absent: u64) {
        let CusumSettings {
            normal_share: normal,
            bad_share: bad,
            ..
        } = self.settings;
        let up = (bad / normal).ln() * happened as f64;
        let down = ((1.0 - bad) / (1.0 - normal)).ln() * absent as f64;
        self.whole += up + down;
        // Within a batch the order is unknown; the events count last, which stops sooner.
        self.raised = (self.raised + down).max(0.0) + up;
    }

    /// Returns whether the share counts as bad.
    pub fn is_bad(&self) -> bool {
        self.raised >= self.settings.threshold_nats
    }

    /// Returns the evidence, in nats, that the share is normal.
    pub fn normal_evidence(&self) -> f64 {
        -self.whole
    }

    /// Forgets the evidence for the normal case, at the start of a step.
    pub fn begin_step(&mut self) {
        self.whole = 0.0;
    }
}
