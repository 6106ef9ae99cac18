//! The binary `rosemary-entry`.

fn main() -> anyhow::Result<()> {
    entry::run(entry::args().run())
}
