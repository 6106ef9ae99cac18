//! How long an answer is expected to be, learned from finished streams and hints of callers.
//!
//! It is meant for loads whose answers differ in length by a factor of three, so that the mean says
//! little about whether one answer ends by its deadline.

use crate::log_estimate::{LogEstimate, normal_share};

/// The least spread of a length. Hints and past answers do not make the next one certain.
const MIN_SPREAD: f64 = 0.1;

/// The length of one answer, in events, whose logarithm is normally distributed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerLength {
    /// The median.
    pub median_events: f64,
    /// The standard deviation of the logarithm.
    pub spread: f64,
    /// The largest length, or infinity.
    pub max_events: f64,
}

impl AnswerLength {
    /// Returns the chance that an answer of which `written` events are there has at most `events`.
    pub fn end_chance(&self, written: f64, events: f64) -> f64 {
        if events >= self.max_events {
            return 1.0;
        }
        if events <= written {
            return 0.0;
        }
        let longer = 1.0 - self.share_up_to(written);
        let at_most = self.share_up_to(events);
        if longer <= f64::EPSILON {
            return 1.0;
        }
        ((at_most - (1.0 - longer)) / longer).clamp(0.0, 1.0)
    }

    fn share_up_to(&self, events: f64) -> f64 {
        if events <= 0.0 {
            return 0.0;
        }
        normal_share((events / self.median_events).ln() / self.spread)
    }
}

/// The lengths of answers to one kind of request, and how they relate to hints of callers.
///
/// # Examples
///
/// ```
/// use policy::LengthEstimate;
///
/// let mut lengths = LengthEstimate::default();
/// assert_eq!(lengths.length(None, 0), None);
/// for _ in 0..20 {
///     lengths.record(30, Some(210));
/// }
/// let length = lengths.length(Some(420), 0).unwrap();
/// assert!(length.median_events > 30.0);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LengthEstimate {
    events: LogEstimate,
    /// Events per token that a caller expects.
    events_per_token: LogEstimate,
}

impl LengthEstimate {
    /// Records a finished answer, with the tokens that its caller expected.
    pub fn record(&mut self, events: u32, hint_tokens: Option<u32>) {
        self.events.record(f64::from(events));
        if let Some(ratio) = ratio(events, hint_tokens) {
            self.events_per_token.record(ratio);
        }
    }

    /// Records an answer that was cut after a number of events.
    pub fn record_cut(&mut self, events: u32, hint_tokens: Option<u32>) {
        self.events.record_at_least(f64::from(events));
        if let Some(ratio) = ratio(events, hint_tokens) {
            self.events_per_token.record_at_least(ratio);
        }
    }

    /// Returns the length of an answer, or `None` while too few are known.
    ///
    /// `hint_tokens` is what the caller expects, and `max_tokens` the largest length that it allows,
    /// 0 if it names none. That is a bound and says nothing of the length.
    pub fn length(&self, hint_tokens: Option<u32>, max_tokens: u32) -> Option<AnswerLength> {
        let learned = self.events.median()?;
        let spread = self.events.spread().max(MIN_SPREAD);
        let ratio = self.events_per_token.median();
        let max_events = match ratio {
            Some(ratio) if max_tokens > 0 => f64::from(max_tokens) * ratio,
            _ => f64::INFINITY,
        };
        let hint_tokens = hint_tokens.filter(|tokens| *tokens > 0);
        let Some((tokens, ratio)) = hint_tokens.zip(ratio) else {
            return Some(AnswerLength {
                median_events: learned,
                spread,
                max_events,
            });
        };
        // Both are weighted by their precision, so that hints which are often far off count little.
        let hinted = f64::from(tokens) * ratio;
        let precision = spread.powi(-2);
        let hint_precision = self.events_per_token.spread().max(MIN_SPREAD).powi(-2);
        let whole = precision + hint_precision;
        let logarithm = (learned.ln() * precision + hinted.ln() * hint_precision) / whole;
        Some(AnswerLength {
            median_events: logarithm.exp(),
            spread: whole.powf(-0.5).max(MIN_SPREAD),
            max_events,
        })
    }
}

fn ratio(events: u32, hint_tokens: Option<u32>) -> Option<f64> {
    let tokens = hint_tokens.filter(|tokens| *tokens > 0)?;
    Some(f64::from(events) / f64::from(tokens))
}
