//! Whether a stream is slow, told by as few of its events as possible.

/// How many events tell the pace of a stream: few, so that a slow version is found before its
/// streams have ended.
const ENOUGH_EVENTS: u32 = 6;

/// How many events are enough at the end of a stream, or if they took as long as those would at a
/// slow pace.
const FEWEST_EVENTS: u32 = 2;

/// How many times the usual time between events makes a stream slow: more than a full batch adds,
/// less than the several times that a bad version takes.
const SLOW_EVENTS: f64 = 2.5;

/// What is seen of a stream.
#[derive(Debug)]
pub struct StreamProgress {
    /// The events that came.
    pub events: u32,
    /// The time since the answer began, in milliseconds.
    pub elapsed_ms: f64,
    /// Whether it has ended.
    pub is_over: bool,
}

/// Returns whether a stream is slow against the usual time between events, in milliseconds, or
/// nothing while that cannot be told.
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
pub fn is_slow_stream(progress: &StreamProgress, usual_ms: Option<f64>) -> Option<bool> {
    let slow_ms = usual_ms.unwrap_or(f64::INFINITY) * SLOW_EVENTS;
    let is_paced = progress.events >= FEWEST_EVENTS;
    // The events of a slow stream need not be waited for.
    let is_late = is_paced && progress.elapsed_ms >= slow_ms * f64::from(ENOUGH_EVENTS);
    if progress.events < ENOUGH_EVENTS && !is_late && !progress.is_over {
        return None;
    }
    Some(is_paced && progress.elapsed_ms >= slow_ms * f64::from(progress.events))
}
