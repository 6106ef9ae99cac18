//! A measure of the load pressure on a service.

/// The weight of the latest sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The mean share of the latency objective taken by first events above which there is pressure.
const MIN_PRESSURE_SHARE: f64 = 0.35;

/// The mean share of the latency objective at which the pressure is full.
const FULL_PRESSURE_SHARE: f64 = 0.9;

/// The largest share of the objective that one sample counts for.
const MAX_SAMPLE_SHARE: f64 = 2.0;

/// The pressure on a service, estimated from the time to first event of its largest model.
///
/// # Examples
///
/// ```
/// use policy::Pressure;
///
/// let mut pressure = Pressure::default();
/// assert_eq!(pressure.value(), 0.0);
/// pressure.record(0.9);
/// assert_eq!(pressure.value(), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct Pressure {
    mean_share: Option<f64>,
}

impl Pressure {
    /// Records the share of its latency objective that a first event took.
    pub fn record(&mut self, share: f64) {
        let mean = self.mean_share.unwrap_or(share);
        self.mean_share = Some(mean + SAMPLE_WEIGHT * (share.min(MAX_SAMPLE_SHARE) - mean));
    }

    /// Returns the pressure, from 0 to 1; 0 before the first sample.
    pub fn value(&self) -> f64 {
        let share = self.mean_share.unwrap_or_default();
        ((share - MIN_PRESSURE_SHARE) / (FULL_PRESSURE_SHARE - MIN_PRESSURE_SHARE)).clamp(0.0, 1.0)
    }
}
