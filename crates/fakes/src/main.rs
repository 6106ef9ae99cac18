//! Small stand-ins for what surrounds the router.

fn main() -> anyhow::Result<()> {
    fakes::run(fakes::args().run())
}
