//! On which instances a revision is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;

use crate::client::get_json;
use crate::error::{CommandError, ExitStatus};
use crate::output::Output;

/// How often the instances are asked.
const TICK: Duration = Duration::from_millis(100);

/// What to wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Wait {
    /// An instance that names the others.
    pub(crate) entry: SocketAddr,
    /// How long to wait, in milliseconds.
    pub(crate) timeout_ms: u64,
}

/// Waits until a revision is in force at every instance.
pub(crate) async fn wait(wait: &Wait, revision: u64, output: Output) -> Result<(), CommandError> {
    let start = Instant::now();
    loop {
        let rows = survey(wait.entry).await?;
        let reached = |row: &&Value| {
            row["revision"]
                .as_u64()
                .is_some_and(|held| held >= revision)
        };
        let count = rows.iter().filter(reached).count();
        let elapsed_ms = start.elapsed().as_millis() as u64;
        if count == rows.len() {
            let line =
                json!({ "in_force": count, "instances": rows.len(), "after_ms": elapsed_ms });
            match output {
                Output::Json => println!("{line}"),
                Output::Table => println!(
                    "in force on {count} of {} after {elapsed_ms} ms",
                    rows.len()
                ),
            }
            return Ok(());
        }
        if elapsed_ms > wait.timeout_ms {
            let missing = rows.iter().filter(|row| !reached(row));
            let missing: Vec<String> = missing.map(|row| row["name"].to_string()).collect();
            let message = format!(
                "in force on {count} of {} after {elapsed_ms} ms; not on {}",
                rows.len(),
                missing.join(", ")
            );
            return Err(CommandError::new(ExitStatus::Timeout, message));
        }
        Timer::after(TICK).await;
    }
}

/// Asks every instance for its status.
pub(crate) async fn survey(entry: SocketAddr) -> Result<Vec<Value>, CommandError> {
    let status = get_json(entry, "/v1/status").await?;
    let mut rows = Vec::new();
    for member in status["members"].as_array().into_iter().flatten() {
        let addr = member["address"]
            .as_str()
            .and_then(|addr| addr.parse().ok());
        let status = match addr {
            Some(addr) => get_json(addr, "/v1/status").await.unwrap_or(Value::Null),
            None => Value::Null,
        };
        rows.push(json!({
            "name": member["name"],
            "zone": member["zone"],
            "address": member["address"],
            "revision": status["revision"],
            "serving": status["serving"],
            "rejected": status["rejected"].as_array().map_or(0, Vec::len),
        }));
    }
    Ok(rows)
}
