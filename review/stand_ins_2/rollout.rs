//! A good version of a service is brought in while streams that may run once only last for some seconds.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Clients, Sent};
use crate::gate::{self, Folder};
use crate::http::{Channel, Head};
use crate::record::Record;
use crate::runner::{Behavior, Server};
use crate::store::Store;

const SERVICE: &str = "seat-model";
const CALLERS_OF_GATE: usize = 30;

const EVENTS: u64 = 150;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const FIRST_EVENT: Duration = Duration::from_millis(200);

/// A gate may close so many channels.
const ALLOWED: usize = 3;

const CALM: Duration = Duration::from_secs(8);

/// The time of the roll-out, and how long after it streams are still watched.
const ROLLOUT: Duration = Duration::from_secs(16);
const REST: Duration = Duration::from_secs(10);

struct Model;

impl Behavior for Model {
    fn run(&self, server: &Server, head: &Head, run: usize, channel: &mut Channel) -> Option<()> {
        if !channel.wait_open(FIRST_EVENT) {
            return None;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            server.sealed(head)
        );
        channel.send(answer.as_bytes()).ok()?;
        for number in 1..=EVENTS {
            server.send_event(channel, run, number)?;
            if !channel.wait_open(EVENT_INTERVAL) {
                return None;
            }
        }
        channel.send(b"0\r\n\r\n").ok()
    }
}

pub fn play(record: &Record, is_troubled: bool) -> std::io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start(record)?;
    store.write("config", "main", include_str!("config.json").trim());
    let mut old = Vec::new();
    for id in ["m1", "m2", "m3"] {
        let server = Server::start_version(id, SERVICE, "v1", record, Box::new(Model))?;
        server.register(&store);
        old.push(server);
    }
    let mut gates = gate::start(2, store.addr, Path::new(&folder.0))?;
    let clients = Clients::new(record);
    let mut threads = Vec::new();
    for (index, gate) in gates.iter().enumerate() {
        for number in 0..CALLERS_OF_GATE {
            // Not all at once, nor in step later.
            let pause = Duration::from_millis(100 + 37 * number as u64);
            threads.push(clients.send_readings(index, gate.callers, pause));
            std::thread::sleep(Duration::from_millis(80));
        }
    }
    std::thread::sleep(CALM);
    let mut new = Vec::new();
    let mut stopped_ms = None;
    if is_troubled {
        for id in ["n1", "n2", "n3"] {
            let server = Server::start_version(id, SERVICE, "v2", record, Box::new(Model))?;
            server.register(&store);
            new.push(server);
        }
        store.write("rollouts", SERVICE, include_str!("rollout.json").trim());
        record.note("a good version is ordered");
        stopped_ms = stop_old_at_success(record, &store, &old);
    } else {
        std::thread::sleep(ROLLOUT);
    }
    std::thread::sleep(REST);
    clients.stop();
    for thread in threads {
        let _ = thread.join();
    }
    if gates.iter_mut().any(|gate| gate.has_ended()) {
        record.result("a gate has ended by itself");
        return Ok(true);
    }
    Ok(is_broken(record, &clients.sent.lock().unwrap(), &old, stopped_ms))
}

/// Stops the old servers as soon as the system says that the new version has succeeded, and returns when, in
/// milliseconds.
fn stop_old_at_success(record: &Record, store: &Store, old: &[Arc<Server>]) -> Option<u64> {
    let until = Instant::now() + 2 * ROLLOUT;
    let mut status = String::new();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
        let current = store.status("rollouts", SERVICE);
        if current != status {
            record.note(&format!("status of the roll-out: {current}"));
            status = current;
        }
        if status.contains("succeeded") {
            let ms = record.ms();
            for server in old {
                store.remove("servers", &server.id);
                server.end();
            }
            record.note("the old servers are stopped");
            return Some(ms);
        }
    }
    None
}

/// LOST: more than three times a gate passes a request from a kept channel on to a sound server and closes the channel
/// without an answer.
fn is_broken(
    record: &Record,
    sent: &[Sent],
    old: &[Arc<Server>],
    stopped_ms: Option<u64>,
) -> bool {
    let mut lost = 0;
    let mut longest_ms = 0;
    for request in sent.iter().filter(|sent| sent.is_kept && sent.answered.is_none()) {
        for server in old {
            let runs = server.runs.lock().unwrap();
            if let Some(run) = runs.iter().find(|run| run.attempt == request.attempt) {
                let ended_ms = run.ended_ms.unwrap_or_default();
                longest_ms = longest_ms.max(ended_ms.saturating_sub(request.sent_ms));
                lost += 1;
                record.note(&format!("lost: {} at {} from {} ms", run.attempt, run.server, run.began_ms));
            }
        }
    }
    let is_broken = lost > ALLOWED;
    let stopped = stopped_ms.map_or("never".to_owned(), |ms| format!("at {ms} ms"));
    record.result(&format!(
        "{} streams; the old servers were stopped {stopped}; {lost} streams on kept channels were cut, the longest after \
         {longest_ms} ms of {} ms: {}",
        sent.len(),
        20_000,
        if is_broken { "LOST is broken" } else { "LOST holds" }
    ));
    is_broken
}
