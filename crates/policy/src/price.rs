//! The price at which quality is bought.

/// The weight of one decision in the price.
const STEP: f64 = 0.02;

/// The weight of one rating in the correction.
const CORRECTION_STEP: f64 = 0.002;

/// The largest correction of the target.
const MAX_CORRECTION: f64 = 0.05;

/// How far above the target quality is aimed, so that the target holds under sampling noise.
const MARGIN: f64 = 0.004;

/// The price of one good answer, raised while quality is short of the target and lowered while it
/// is above.
///
/// A mix of paths that meets a target at the lowest cost is what each request gets when it takes
/// the path with the lowest cost minus price times quality.
#[derive(Debug, Clone)]
pub struct Price {
    micros: f64,
    correction: f64,
    scale_micros: f64,
}

impl Price {
    /// Starts at a typical cost of one request, in millionths of the currency unit.
    pub fn new(scale_micros: f64) -> Price {
        let scale_micros = scale_micros.max(1.0);
        Price {
            micros: scale_micros,
            correction: 0.0,
            scale_micros,
        }
    }

    /// Returns the price, in millionths of the currency unit for one good answer.
    pub fn micros(&self) -> f64 {
        self.micros
    }

    /// Notes a decision's expected quality.
    pub fn decided(&mut self, quality: f64, target: f64) {
        let aim = (target + MARGIN + self.correction).min(1.0);
        self.micros += STEP * self.scale_micros * (aim - quality) * 10.0;
        self.micros = self.micros.clamp(0.0, self.scale_micros * 200.0);
    }

    /// Notes a rating beside the quality that was expected of the decision.
    pub fn rated(&mut self, good: bool, expected: f64) {
        let outcome = if good { 1.0 } else { 0.0 };
        self.correction += CORRECTION_STEP * (expected - outcome);
        self.correction = self.correction.clamp(-MAX_CORRECTION, MAX_CORRECTION);
    }
}
