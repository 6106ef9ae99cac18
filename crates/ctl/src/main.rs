//! The operators' command line.

fn main() -> std::process::ExitCode {
    ctl::run(ctl::args().run())
}
