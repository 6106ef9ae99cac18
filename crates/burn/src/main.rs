//! Prints a report on error-budget burn, latency and cost.

fn main() -> anyhow::Result<()> {
    burn::run(&burn::args().run())
}
