//! A measure of how scarce the engine time of a service is.

/// Time in which a sample loses most of its weight, in milliseconds: long enough to average over
/// the phases of a batch, short enough to follow a crash.
const AVERAGING_MS: f64 = 700.0;

/// Bounds on the weight of one sample in the running mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
const MAX_SAMPLE_WEIGHT: f64 = 0.25;

/// The largest share of the objective that one sample counts for.
const MAX_SAMPLE_SHARE: f64 = 2.0;

/// The scarcity of a service's engine time, estimated from the waits before first events.
///
/// It answers loads at which requests queue for engines: the wait beyond undisturbed reading is
/// zero on idle engines and grows without bound on overloaded ones.
///
/// # Examples
///
/// ```
/// use policy::Scarcity;
///
/// let mut scarcity = Scarcity::default();
/// assert_eq!(scarcity.wait_share(), 0.0);
/// scarcity.record(400.0, 1_000.0, 0);
/// assert_eq!(scarcity.wait_share(), 0.4);
/// ```
#[derive(Debug, Default)]
pub struct Scarcity {
    mean_share: Option<f64>,
    updated_ms: u64,
}

impl Scarcity {
    /// Records how long a request waited for its first event beyond undisturbed reading, and its
    /// latency objective, both in milliseconds.
    pub fn record(&mut self, wait_ms: f64, objective_ms: f64, now_ms: u64) {
        let share = (wait_ms / objective_ms.max(1.0)).clamp(0.0, MAX_SAMPLE_SHARE);
        let mean = self.mean_share.unwrap_or(share);
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / AVERAGING_MS).exp();
        let weight = weight.clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.mean_share = Some(mean + weight * (share - mean));
        self.updated_ms = now_ms;
    }

    /// Returns the mean wait as a share of the latency objective; 0 before the first sample.
    pub fn wait_share(&self) -> f64 {
        self.mean_share.unwrap_or_default()
    }
}
