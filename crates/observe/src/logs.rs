//! The start of logging.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// How many lines may wait to be written: some seconds of a busy instance's.
const MAX_WAITING_LINES: usize = 8_192;

/// Running logs. Dropping them writes what waits.
pub struct LogGuard {
    left_out: ErrorCounter,
    _guard: WorkerGuard,
}

impl LogGuard {
    /// Returns how many lines found no room.
    pub fn dropped_lines(&self) -> usize {
        self.left_out.dropped_lines()
    }

    /// Returns the counter of lines that found no room.
    pub fn dropped_counter(&self) -> ErrorCounter {
        self.left_out.clone()
    }
}

/// Starts logging to standard output as JSON, one line for each event.
pub fn start_logging() -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let left_out = writer.error_counter();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false)
        .json()
        .flatten_event(true)
        .try_init();
    if let Err(err) = started {
        eprintln!("logs: another logger is set already: {err}");
    }
    LogGuard {
        left_out,
        _guard: guard,
    }
}
