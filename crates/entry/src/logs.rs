//! Logging setup.

use tracing_subscriber::EnvFilter;

/// Installs the log subscriber, which writes to standard error; a later call has no effect.
pub(crate) fn start(format: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false);
    let installed = if format == "json" {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    drop(installed);
}
