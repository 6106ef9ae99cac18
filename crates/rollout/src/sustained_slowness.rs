//! Decides when the slowness of a version has lasted long enough to withdraw it.

use crate::timed_rollout::Phase;

/// How long a version must stay slow during its trial, in milliseconds. The longest prompts are
/// read for two seconds, and all answers of their endpoint are slow during that time.
const TRIAL_MIN_MS: u64 = 2_500;

/// How long a version with half of the traffic or more must stay slow, in milliseconds. It runs on
/// many endpoints by then, and little time is left.
const TRAFFIC_MIN_MS: u64 = 1_000;

/// Tracks how long a version has been slow without interruption.
///
/// # Examples
///
/// ```
/// use rollout::{Phase, SustainedSlowness};
///
/// let mut slowness = SustainedSlowness::default();
/// assert!(!slowness.update(true, Phase::Trial, 1_000));
/// assert!(slowness.update(true, Phase::Trial, 3_500));
/// ```
#[derive(Debug, Default)]
pub struct SustainedSlowness {
    since_ms: Option<u64>,
    has_traffic: bool,
}

impl SustainedSlowness {
    /// Updates with whether the version is slow now, and returns whether it has been slow for long
    /// enough to withdraw it.
    ///
    /// The time starts anew when the version gets half of the traffic or more.
    pub fn update(&mut self, is_slow: bool, phase: Phase, now_ms: u64) -> bool {
        let has_traffic = phase > Phase::Trial;
        if !is_slow || has_traffic != self.has_traffic {
            self.since_ms = None;
        }
        self.has_traffic = has_traffic;
        if !is_slow {
            return false;
        }
        let min_ms = if has_traffic {
            TRAFFIC_MIN_MS
        } else {
            TRIAL_MIN_MS
        };
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= min_ms
    }
}
