//! How pressed a service is.

/// The weight of the latest time in the running mean.
const WEIGHT: f64 = 0.05;

/// The part of the objective that first events may take before a service counts as pressed.
const EASY_SHARE: f64 = 0.35;

/// The part of the objective at which it counts as fully pressed.
const PRESSED_SHARE: f64 = 0.9;

/// The most that one time counts for, in objectives.
const MAX_SHARE: f64 = 2.0;

/// How pressed a service is, told by the first events of its largest model.
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
    /// Notes the part of its objective that a first event took.
    pub fn record(&mut self, share: f64) {
        let mean = self.mean_share.unwrap_or(share);
        self.mean_share = Some(mean + WEIGHT * (share.min(MAX_SHARE) - mean));
    }

    /// Returns the pressure, from 0 to 1.
    pub fn value(&self) -> f64 {
        let share = self.mean_share.unwrap_or_default();
        ((share - EASY_SHARE) / (PRESSED_SHARE - EASY_SHARE)).clamp(0.0, 1.0)
    }
}
