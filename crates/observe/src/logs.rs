//! Setup of non-blocking JSON logs.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The number of lines buffered for writing: a busy instance's output of several seconds.
const MAX_BUFFERED_LINES: usize = 8_192;

/// Keeps the log writer running. Dropping the guard writes the buffered lines.
pub struct LogGuard {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl LogGuard {
    /// Returns the number of lines dropped since the start because the buffer was full.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Returns the counter of dropped lines, which stays valid without the guard.
    pub fn dropped_counter(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Starts logging to standard output as JSON, one line for each event. `RUST_LOG` sets the filter;
/// the default is `info`.
pub fn start_logging() -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let installed = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false)
        .json()
        .flatten_event(true)
        .try_init();
    if let Err(err) = installed {
        eprintln!("logs: a global logger is already installed: {err}");
    }
    LogGuard {
        dropped,
        _guard: guard,
    }
}
