//! The quick start: entry instances, fake backends and checked traffic in one process.

fn main() -> anyhow::Result<std::process::ExitCode> {
    trial::run(&trial::args().run())
}
