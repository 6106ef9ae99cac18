//! When slow answers are held against a version.

use crate::timed_rollout::Phase;

/// How long a version on trial must stay slow, in milliseconds: the users' longest prompts are read
/// for two seconds, and all that their endpoint answers is slow meanwhile.
const ON_TRIAL_MS: u64 = 2_500;

/// How long a version with half of the traffic or more must stay slow, in milliseconds: many
/// endpoints answer for it then, and little time is left.
const WITH_TRAFFIC_MS: u64 = 1_000;

/// SustainedSlowness of a version, which counts only once it has been seen for a while without a pause.
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
    /// Notes whether it is seen now, and returns whether it is held against the version.
    ///
    /// What was seen on trial must be seen anew once the version has traffic.
    pub fn update(&mut self, seen: bool, phase: Phase, now_ms: u64) -> bool {
        let has_traffic = phase > Phase::Trial;
        if !seen || has_traffic != self.has_traffic {
            self.since_ms = None;
        }
        self.has_traffic = has_traffic;
        if !seen {
            return false;
        }
        let least_ms = if has_traffic {
            WITH_TRAFFIC_MS
        } else {
            ON_TRIAL_MS
        };
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= least_ms
    }
}
