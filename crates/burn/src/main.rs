//! The report on service-level burn.

fn main() -> anyhow::Result<()> {
    burn::run(&burn::args().run())
}
