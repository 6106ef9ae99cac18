//! Waits until a configuration revision is in force on all instances.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;

use crate::client::get_json;
use crate::error::{CommandError, ExitStatus};
use crate::output::Output;

/// Interval at which the instances are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Whom to poll, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Wait {
    /// Instance from which the list of members is read.
    pub(crate) entry: SocketAddr,
    /// Maximum wait, in milliseconds.
    pub(crate) timeout_ms: u64,
}

/// Waits until every instance reports the revision or a later one.
pub(crate) async fn wait(wait: &Wait, revision: u64, output: Output) -> Result<(), CommandError> {
    let start = Instant::now();
    loop {
        let rows = instance_statuses(wait.entry).await?;
        let reached = |row: &&Value| {
            row["revision"]
                .as_u64()
                .is_some_and(|current| current >= revision)
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
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Reads the status of every instance. The revision of an unreachable one is null.
pub(crate) async fn instance_statuses(entry: SocketAddr) -> Result<Vec<Value>, CommandError> {
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
