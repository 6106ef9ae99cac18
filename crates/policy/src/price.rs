//! The price at which quality is bought.

/// The lowest price, in millionths of the currency unit.
const MIN_MICROS: f64 = 0.01;

/// The highest price, in millionths of the currency unit.
const MAX_MICROS: f64 = 1e9;

/// The weight of one decision in the logarithm of the price.
const STEP: f64 = 0.02;

/// The weight of one rating in the correction.
const CORRECTION_STEP: f64 = 0.0008;

/// The largest correction of the target.
const MAX_CORRECTION: f64 = 0.03;

/// How far above the target quality is aimed, so that the target holds under sampling noise.
const MARGIN: f64 = 0.005;

/// The price of one good answer, raised while quality is short of the target and lowered while it
/// is above.
///
/// A mix of paths that meets a target at the lowest cost is what each request gets when it takes
/// the path with the lowest cost minus price times quality.
#[derive(Debug, Clone)]
pub struct Price {
    micros: f64,
    correction: f64,
}

impl Price {
    /// Starts at a typical cost of one request, in millionths of the currency unit.
    pub fn new(start_micros: f64) -> Price {
        let micros = start_micros.clamp(MIN_MICROS, MAX_MICROS);
        Price {
            micros,
            correction: 0.0,
        }
    }

    /// Returns the price, in millionths of the currency unit for one good answer.
    pub fn micros(&self) -> f64 {
        self.micros
    }

    /// Notes a decision's expected quality.
    pub fn record_decision(&mut self, quality: f64, target: f64) {
        let aim = target + MARGIN + self.correction;
        self.micros *= (STEP * (aim - quality)).exp();
        self.micros = self.micros.clamp(MIN_MICROS, MAX_MICROS);
    }

    /// Notes the rating of a request's last answer.
    pub fn record_rating(&mut self, good: bool, target: f64) {
        let outcome = if good { 1.0 } else { 0.0 };
        self.correction += CORRECTION_STEP * (target + MARGIN - outcome);
        self.correction = self.correction.clamp(-MAX_CORRECTION, MAX_CORRECTION);
    }
}
