//! The start of logging.

use tracing_subscriber::EnvFilter;

/// Starts logging to standard error, once per process.
pub(crate) fn start(format: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false);
    let started = if format == "json" {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    drop(started);
}
