//! Stand-ins of the second review: clients, servers and the platform's store, and the cases that they play
//! against the system's own processes.
//!
//! The exit status is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod flood;
mod gate;
mod http;
mod json;
mod record;
mod restore;
mod rollout;
mod runner;
mod store;
mod wire;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(Path::new(&path)).and_then(|record| match &*case {
        "flood" => flood::play(&record, is_troubled),
        "rollout" => rollout::play(&record, is_troubled),
        "restore" => restore::play(&record, is_troubled),
        _ => Err(std::io::Error::other(format!("no case '{case}'"))),
    });
    match played {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
