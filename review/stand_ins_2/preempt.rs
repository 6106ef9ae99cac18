//! Streams are preempted at their model server, which reads them in again and goes on.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::client::Clients;
use crate::gate::{self, Folder};
use crate::http::{Channel, Head};
use crate::record::Record;
use crate::runner::{Behavior, Run, Server};
use crate::store::Store;

const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The time to the first event, in which the prompt is read: half of the objective.
const FIRST_EVENT: Duration = Duration::from_millis(1_000);

/// The event after which a stream is preempted, and the time until its next one.
const PREEMPTED_AFTER: u64 = 8;
const PREEMPTED_TIME: Duration = Duration::from_millis(2_400);

/// The streams that are preempted.
const PREEMPTED: u64 = 5;

/// How long two servers may work on a request.
const BOTH_MS: u64 = 400;

const CALM: Duration = Duration::from_secs(5);
const REST: Duration = Duration::from_secs(30);

struct Model {
    /// Streams that are still to be preempted.
    due: Arc<AtomicU64>,
}

impl Model {
    fn is_due(&self) -> bool {
        let take = |due: u64| due.checked_sub(1);
        self.due.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }
}

impl Behavior for Model {
    fn run(&self, server: &Server, head: &Head, run: usize, channel: &mut Channel) -> Option<()> {
        let after = server.runs.lock().unwrap()[run].after;
        if !channel.wait_open(FIRST_EVENT) {
            return None;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            server.sealed(head)
        );
        channel.send(answer.as_bytes()).ok()?;
        for number in after.unwrap_or(0) + 1..=EVENTS {
            server.send_event(channel, run, number)?;
            let is_preempted = after.is_none() && number == PREEMPTED_AFTER && self.is_due();
            if is_preempted {
                let id = &server.id;
                server.record.note(&format!("{id} preempts a stream after event {number}"));
            }
            let wait = if is_preempted { PREEMPTED_TIME } else { EVENT_INTERVAL };
            if !channel.wait_open(wait) {
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
    let due = Arc::new(AtomicU64::new(0));
    let mut servers = Vec::new();
    for id in ["m1", "m2", "m3"] {
        let due = due.clone();
        servers.push(Server::start(id, "seat-model", record, Box::new(Model { due }))?);
    }
    for server in &servers {
        server.register(&store);
    }
    let mut gates = gate::start(2, store.addr, Path::new(&folder.0))?;
    let clients = Clients::new(record);
    let mut threads = Vec::new();
    for (index, gate) in gates.iter().enumerate() {
        for _ in 0..2 {
            threads.push(clients.send_streams(index, gate.callers, Duration::from_millis(300)));
        }
    }
    std::thread::sleep(CALM);
    due.store(if is_troubled { PREEMPTED } else { 0 }, Ordering::SeqCst);
    std::thread::sleep(REST);
    clients.stop();
    for thread in threads {
        let _ = thread.join();
    }
    if gates.iter_mut().any(|gate| gate.has_ended()) {
        record.result("a gate has ended by itself");
        return Ok(true);
    }
    // What the servers still do is recorded by then.
    std::thread::sleep(Duration::from_secs(1));
    let mut runs = Vec::new();
    for server in &servers {
        runs.extend(server.runs.lock().unwrap().iter().cloned());
    }
    Ok(is_broken(record, &runs))
}

/// TWICE: a request goes on at another server while the one before still works on it 400 ms later. A server works on
/// it if it makes events.
fn is_broken(record: &Record, runs: &[Run]) -> bool {
    let mut broken = 0;
    for later in runs.iter().filter(|run| run.after.is_some()) {
        let is_before = |run: &&Run| {
            run.attempt == later.attempt && run.server != later.server && run.began_ms < later.began_ms
        };
        for earlier in runs.iter().filter(is_before) {
            let limit_ms = later.began_ms + BOTH_MS;
            let too_late = earlier.events_ms.iter().filter(|ms| **ms > limit_ms).count();
            if too_late == 0 {
                continue;
            }
            broken += 1;
            record.result(&format!(
                "{} goes on at {} from {} ms; {} makes {too_late} events of it after {limit_ms} ms, the last at \
                 {} ms",
                later.attempt,
                later.server,
                later.began_ms,
                earlier.server,
                earlier.events_ms.last().copied().unwrap_or_default()
            ));
        }
    }
    let verdict = if broken > 0 { "TWICE is broken" } else { "TWICE holds" };
    record.result(&format!("{} runs, {broken} too long beside another: {verdict}", runs.len()));
    broken > 0
}
