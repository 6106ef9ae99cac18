//! Fake platform, model engines and services for testing the router.

fn main() -> anyhow::Result<()> {
    fakes::run(fakes::args().run())
}
