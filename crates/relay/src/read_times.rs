//! When the bytes of a body were read.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time without bytes that counts as a gap.
const MIN_GAP: Duration = Duration::from_millis(100);

/// How long ago a gap may have ended to matter: after a pause, bytes are read together that were sent one
/// after another.
const RECENT: Duration = Duration::from_millis(500);

/// When the bytes of a body were read, and when none were.
#[derive(Debug, Clone)]
pub struct ReadTimes {
    read_at: Instant,
    /// When the connection was last known to be open, as there was nothing to read.
    open_at: Instant,
    /// Begin and end of the recent gaps.
    gaps: VecDeque<(Instant, Instant)>,
}

impl ReadTimes {
    /// Creates the times of a body that begins to be read at a time.
    pub fn new(began_at: Instant) -> ReadTimes {
        ReadTimes {
            read_at: began_at,
            open_at: began_at,
            gaps: VecDeque::new(),
        }
    }

    /// Records that bytes were read at a time.
    pub fn record(&mut self, now: Instant) {
        if now >= self.read_at + MIN_GAP {
            self.gaps.push_back((self.read_at, now));
        }
        while self
            .gaps
            .front()
            .is_some_and(|(_, ended_at)| *ended_at + RECENT < now)
        {
            self.gaps.pop_front();
        }
        self.read_at = now;
    }

    /// Records that until a time there was nothing to read, neither bytes nor an end.
    pub fn record_wait(&mut self, now: Instant) {
        self.open_at = now;
    }

    /// Returns until when the connection is known to have been open. What is read without a wait may have arrived
    /// at any time since then.
    pub fn open_until(&self) -> Instant {
        self.open_at
    }

    /// Returns when bytes were last read, or when the body began to be.
    pub fn last(&self) -> Instant {
        self.read_at
    }

    /// Returns until when bytes arrived without a gap, seen from the time at which the body ended. The process
    /// that sent them may have ended in a gap, also if bytes were read after it.
    pub fn steady_until(&self, ended_at: Instant) -> Instant {
        let gaps = self.recent_gaps(ended_at);
        gaps.map(|(began_at, _)| began_at).min().unwrap_or(ended_at)
    }

    /// Returns the longest recent gap, seen from the time at which the body ended.
    pub fn longest_gap(&self, ended_at: Instant) -> Duration {
        let gaps = self.recent_gaps(ended_at);
        gaps.map(|(began_at, ended_at)| ended_at - began_at)
            .max()
            .unwrap_or_default()
    }

    fn recent_gaps(&self, ended_at: Instant) -> impl Iterator<Item = (Instant, Instant)> {
        let last = (ended_at >= self.read_at + MIN_GAP).then_some((self.read_at, ended_at));
        let earlier = self.gaps.iter().copied();
        let recent = earlier.filter(move |(_, gap_ended_at)| *gap_ended_at + RECENT >= ended_at);
        recent.chain(last)
    }
}
