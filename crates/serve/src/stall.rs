//! Detection of streams that bring no events.

use std::io;
use std::time::Duration;

/// Shortest silence after which a stream is resumed at another endpoint. Callers disconnect after
/// two seconds at the earliest.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Silence that counts as a stall, as a multiple of the longest gap that callers accept.
const STALL_GAPS: u32 = 2;

/// Maximum size of the comments between two events, in bytes.
const MAX_COMMENT_BYTES: usize = 1 << 20;

/// What a run brought since its last event. Comments keep a connection alive, but are not progress.
#[derive(Debug)]
pub(crate) struct Stall {
    timeout: Duration,
    /// The time in which comments were waited for. Callers that read slowly do not add to it.
    waited: Duration,
    comment_bytes: usize,
}

impl Stall {
    /// Creates one for the longest gap between events that callers accept.
    pub(crate) fn new(max_gap: Duration) -> Stall {
        Stall {
            timeout: (max_gap * STALL_GAPS).max(MIN_STALL_TIMEOUT),
            waited: Duration::ZERO,
            comment_bytes: 0,
        }
    }

    /// Records an event, or the begin of another run.
    pub(crate) fn reset(&mut self) {
        self.waited = Duration::ZERO;
        self.comment_bytes = 0;
    }

    /// Returns how long the next event may still take.
    pub(crate) fn remaining(&self) -> Duration {
        self.timeout.saturating_sub(self.waited)
    }

    /// Records a comment that was waited for.
    ///
    /// # Errors
    ///
    /// Fails if there are too many of them.
    pub(crate) fn record_comment(&mut self, bytes: usize, waited: Duration) -> io::Result<()> {
        self.waited += waited;
        self.comment_bytes += bytes;
        if self.comment_bytes > MAX_COMMENT_BYTES {
            let message = format!("more than {MAX_COMMENT_BYTES} bytes of comments and no event");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}
