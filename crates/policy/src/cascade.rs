//! Which size of a model answers, when the small one says how sure it is.
//!
//! It answers the load of requests that most small answers serve, where the large model costs many
//! times as much and runs as many times slower.

/// From which confidence on a small model's answer is kept, by the rank of the request.
///
/// # Examples
///
/// ```
/// use policy::Cascade;
///
/// let ladder = Cascade::new(&[101, 80]);
/// assert_eq!(ladder.first_size(0, 2), 2);
/// assert_eq!(ladder.first_size(1, 2), 0);
/// assert!(ladder.keeps(1, Some(80), 0.0));
/// assert!(!ladder.keeps(1, Some(79), 0.0));
/// assert!(ladder.keeps(1, Some(60), 1.0));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cascade {
    keep: Vec<u8>,
}

/// How much the threshold sinks when the large model is fully pressed. On the heaviest days a
/// threshold lower by this much served callers best.
const PRESSURE_RELIEF: f64 = 22.0;

/// The confidence that no answer reaches: the small model is not asked.
const NEVER: u8 = 101;

impl Cascade {
    /// Makes a ladder; ranks beyond the list are treated like its last.
    pub fn new(keep: &[u8]) -> Cascade {
        Cascade {
            keep: keep.to_vec(),
        }
    }

    /// Returns the size that is asked first, where `largest` is the last one.
    pub fn first_size(&self, rank: u8, largest: usize) -> usize {
        if self.threshold(rank) >= NEVER {
            largest
        } else {
            0
        }
    }

    /// Returns whether an answer is kept while the large model is pressed, from 0 to 1.
    ///
    /// The more it is pressed, the more a doubtful answer now is worth against a late one.
    pub fn keeps(&self, rank: u8, confidence: Option<u8>, pressure: f64) -> bool {
        let threshold = f64::from(self.threshold(rank)) - PRESSURE_RELIEF * pressure;
        confidence.is_some_and(|confidence| f64::from(confidence) >= threshold)
    }

    fn threshold(&self, rank: u8) -> u8 {
        let index = usize::from(rank).min(self.keep.len().saturating_sub(1));
        self.keep.get(index).copied().unwrap_or(NEVER)
    }
}
