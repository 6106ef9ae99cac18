//! The price of quality, which steers the mean quality to its target.

/// The lowest price, in millionths of the currency unit.
const MIN_MICROS: f64 = 0.01;

/// The highest price, in millionths of the currency unit.
const MAX_MICROS: f64 = 1e9;

/// The step of the price's logarithm per decision, for a quality that is short of the target by 1.
const PRICE_STEP: f64 = 0.02;

/// The step of the correction per rating, for an outcome that is short of the target by 1.
const CORRECTION_STEP: f64 = 0.0008;

/// The largest correction of the target in either direction.
const MAX_CORRECTION: f64 = 0.03;

/// The margin above the target at which quality is aimed, so that the target holds under sampling
/// noise.
const QUALITY_MARGIN: f64 = 0.005;

/// The price of one good answer, raised while quality is short of the target and lowered while it
/// is above.
///
/// If each request takes the plan with the lowest cost minus price times quality, the mix of plans
/// meets the target at the lowest cost.
#[derive(Debug, Clone)]
pub struct Price {
    micros: f64,
    correction: f64,
}

impl Price {
    /// Starts at the typical cost of one request, in millionths of the currency unit.
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

    /// Adjusts the price to a decision's expected quality; both shares are from 0 to 1.
    pub fn record_decision(&mut self, quality: f64, target: f64) {
        let aim = target + QUALITY_MARGIN + self.correction;
        self.micros *= (PRICE_STEP * (aim - quality)).exp();
        self.micros = self.micros.clamp(MIN_MICROS, MAX_MICROS);
    }

    /// Corrects the target by the rating of a request's last answer.
    pub fn record_rating(&mut self, good: bool, target: f64) {
        let outcome = if good { 1.0 } else { 0.0 };
        self.correction += CORRECTION_STEP * (target + QUALITY_MARGIN - outcome);
        self.correction = self.correction.clamp(-MAX_CORRECTION, MAX_CORRECTION);
    }
}
