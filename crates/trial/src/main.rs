//! The quick start: the whole path in one process.

fn main() -> anyhow::Result<std::process::ExitCode> {
    trial::run(&trial::args().run())
}
