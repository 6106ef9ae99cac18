//! Stand-ins for the scripts of the third review: a store, endpoints, a client and the start of gates.
//!
//! Uses the standard library only. Names of the wire are in `wire.txt`.

mod case;
mod client;
mod endpoint;
mod gate;
mod json;
mod path;
mod store;
mod wire;

use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Writes a line to the record of the case, with the seconds since its start.
pub fn note(line: &str) {
    let (file, began) = RECORD.get().expect("the record is open");
    let mut file = file.lock().unwrap();
    writeln!(file, "{:8.3} {line}", began.elapsed().as_secs_f64()).unwrap();
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, number, folder] = &args[..] else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = File::create(format!("{folder}/record.txt")).expect("a record");
    let _ = RECORD.set((Mutex::new(record), Instant::now()));
    gate::end_after(std::time::Duration::from_secs(110));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note(&format!("case {number}, disruption: {has_trouble}"));
    // A failure of a stand-in is no result.
    let outcome = std::panic::catch_unwind(|| case::run(number, has_trouble));
    match outcome {
        Ok(Ok(broken)) => {
            let result = if broken { "BROKEN" } else { "held" };
            note(&format!("result: {result}"));
            println!("case {number}: {result}");
            ExitCode::from(u8::from(broken))
        }
        Ok(Err(why)) => {
            note(&format!("could not run: {why}"));
            println!("case {number}: could not run: {why}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}
