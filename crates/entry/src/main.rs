//! One entry instance of the router.

fn main() -> anyhow::Result<()> {
    entry::run(entry::args().run())
}
