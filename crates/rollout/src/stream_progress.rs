//! Detects a slow stream from as few of its events as possible.

/// The number of events after which a running stream is judged: few, so that a slow version is
/// found before its streams have ended.
const RUNNING_EVENTS: u32 = 6;

/// The minimum number of events of a slow stream. It is enough once the stream has ended or has
/// taken the time in which a slow stream sends `RUNNING_EVENTS` events.
const MIN_EVENTS: u32 = 2;

/// The factor on the baseline time between events above which a stream is slow. A full batch adds
/// less than this, and a bad version takes several times the baseline.
const SLOW_FACTOR: f64 = 2.5;

/// The progress of one stream of events.
#[derive(Debug)]
pub struct StreamProgress {
    /// The number of events received.
    pub events: u32,
    /// The time since the start of the answer, in milliseconds.
    pub elapsed_ms: f64,
    /// Whether the stream has ended.
    pub is_over: bool,
}

impl StreamProgress {
    /// Returns the time per event relative to a baseline, in milliseconds, or `None` without a
    /// baseline or with too few events.
    pub fn relative_pace(&self, baseline_ms: Option<f64>) -> Option<f64> {
        let baseline_ms = baseline_ms.filter(|baseline_ms| *baseline_ms > 0.0)?;
        let event_ms = self.elapsed_ms / f64::from(self.events);
        (self.events >= MIN_EVENTS).then_some(event_ms / baseline_ms)
    }
}

/// Returns whether a stream is slow against the baseline time between events, in milliseconds, or
/// `None` while it is too early to decide. Without a baseline no stream is slow.
///
/// # Examples
///
/// ```
/// use rollout::{StreamProgress, is_slow_stream};
///
/// let progress = StreamProgress { events: 6, elapsed_ms: 200.0, is_over: false };
/// assert_eq!(is_slow_stream(&progress, Some(10.0)), Some(true));
/// assert_eq!(is_slow_stream(&progress, Some(20.0)), Some(false));
/// ```
pub fn is_slow_stream(progress: &StreamProgress, baseline_ms: Option<f64>) -> Option<bool> {
    let slow_ms = baseline_ms.unwrap_or(f64::INFINITY) * SLOW_FACTOR;
    let has_min_events = progress.events >= MIN_EVENTS;
    // So much time for so few events already shows that the stream is slow.
    let is_overdue = has_min_events && progress.elapsed_ms >= slow_ms * f64::from(RUNNING_EVENTS);
    if progress.events < RUNNING_EVENTS && !is_overdue && !progress.is_over {
        return None;
    }
    Some(has_min_events && progress.elapsed_ms >= slow_ms * f64::from(progress.events))
}
