//! The operators' command line, `rosemaryctl`.

fn main() -> std::process::ExitCode {
    ctl::run(ctl::args().run())
}
