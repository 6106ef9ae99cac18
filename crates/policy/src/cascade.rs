//! The cascade over the sizes of a model, which keeps a small model's answer if it is confident.
//!
//! It is meant for loads in which the small model's answer serves most requests, and for a large
//! model that costs many times as much and runs as many times slower.

/// The confidence from which a small model's answer is kept, by the rank of the request.
///
/// # Examples
///
/// ```
/// use policy::Cascade;
///
/// let cascade = Cascade::new(&[101, 80]);
/// assert_eq!(cascade.first_size(0, 2), 2);
/// assert_eq!(cascade.first_size(1, 2), 0);
/// assert!(cascade.keeps(1, Some(80), 0.0));
/// assert!(!cascade.keeps(1, Some(79), 0.0));
/// assert!(cascade.keeps(1, Some(60), 1.0));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cascade {
    thresholds: Vec<u8>,
}

/// How far full pressure on the large model lowers the threshold, in points of confidence. Under
/// the heaviest loads, callers get more from a doubtful answer now than from a late one.
const PRESSURE_RELIEF: f64 = 22.0;

/// A threshold that no confidence reaches, at which the small model is not called.
const UNREACHABLE: u8 = 101;

impl Cascade {
    /// Creates a cascade from the thresholds by rank, each a confidence from 0 to 100.
    ///
    /// Ranks beyond the list get its last threshold. At a threshold above 100, and with an empty
    /// list, the small model is not called.
    pub fn new(thresholds: &[u8]) -> Cascade {
        Cascade {
            thresholds: thresholds.to_vec(),
        }
    }

    /// Returns the index of the size that is called first, where `largest` is the last one.
    pub fn first_size(&self, rank: u8, largest: usize) -> usize {
        if self.threshold(rank) >= UNREACHABLE {
            largest
        } else {
            0
        }
    }

    /// Returns whether an answer is kept at a pressure on the large model from 0 to 1.
    ///
    /// The higher the pressure, the later the large model's answer, and the lower the confidence
    /// that is accepted instead. An answer without a confidence is not kept.
    pub fn keeps(&self, rank: u8, confidence: Option<u8>, pressure: f64) -> bool {
        let threshold = f64::from(self.threshold(rank)) - PRESSURE_RELIEF * pressure;
        confidence.is_some_and(|confidence| f64::from(confidence) >= threshold)
    }

    fn threshold(&self, rank: u8) -> u8 {
        let index = usize::from(rank).min(self.thresholds.len().saturating_sub(1));
        self.thresholds.get(index).copied().unwrap_or(UNREACHABLE)
    }
}
