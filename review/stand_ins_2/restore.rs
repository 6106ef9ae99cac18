//! A server leaves, and the platform's store comes back from a copy that still lists it.

use std::path::Path;
use std::time::Duration;

use crate::client::Clients;
use crate::gate::{self, Folder};
use crate::http::{Channel, Head};
use crate::record::Record;
use crate::runner::{Behavior, Server};
use crate::store::Store;

const GATES: usize = 2;
const CALLERS_OF_GATE: usize = 4;

const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The time to the first event, in which the prompt is read: half of the objective.
const FIRST_EVENT: Duration = Duration::from_millis(1_000);

/// How long after a machine acknowledged that a server is gone requests may reach it.
const DRAIN_MS: u64 = 2_000;

const CALM: Duration = Duration::from_secs(6);

/// How old the copy is when the server leaves.
const COPY_AGE: Duration = Duration::from_millis(1_000);

/// When the store goes away after that, and for how long.
const AWAY_AFTER: Duration = Duration::from_millis(1_500);
const AWAY_TIME: Duration = Duration::from_millis(1_000);

/// When the entries of servers are written again after the store is back, and when the removal is.
const ENTRIES_AGAIN: Duration = Duration::from_millis(300);
const REMOVAL_AGAIN: Duration = Duration::from_millis(2_000);

const REST: Duration = Duration::from_secs(5);

struct Model;

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
    let mut servers = Vec::new();
    for id in ["m1", "m2", "m3"] {
        servers.push(Server::start(id, "seat-model", record, Box::new(Model))?);
    }
    for server in &servers {
        server.register(&store);
    }
    let mut gates = gate::start(GATES, store.addr, Path::new(&folder.0))?;
    let clients = Clients::new(record);
    let mut threads = Vec::new();
    for (index, gate) in gates.iter().enumerate() {
        for _ in 0..CALLERS_OF_GATE {
            threads.push(clients.send_streams(index, gate.callers, Duration::from_millis(300)));
        }
    }
    std::thread::sleep(CALM);
    let copy = store.copy();
    std::thread::sleep(COPY_AGE);
    // It leaves while no request awaits its answer, so that the gates hear of it from the store. It never reports that
    // it drains: its entry is removed, and it goes on to serve for a while.
    while servers[2].is_awaited() {
        std::thread::sleep(Duration::from_millis(1));
    }
    servers[2].leave();
    store.remove("servers", "m3");
    record.note("the entry of m3 is removed");
    std::thread::sleep(AWAY_AFTER);
    let told = store.told();
    if is_troubled {
        record.note("the store is away");
        store.go_away();
        std::thread::sleep(AWAY_TIME);
        store.come_back(copy);
        record.note("the store is back from a copy that is some seconds old");
        std::thread::sleep(ENTRIES_AGAIN);
        for server in &servers[..2] {
            server.register(&store);
        }
        record.note("m1 and m2 write their entries again");
        std::thread::sleep(REMOVAL_AGAIN - ENTRIES_AGAIN);
        store.remove("servers", "m3");
        record.note("the entry of m3 is removed again");
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
    if told.len() < GATES {
        return Err(std::io::Error::other("not all gates heard that the server is gone"));
    }
    let acknowledged_ms = told.iter().copied().max().unwrap_or_default();
    Ok(is_broken(record, &servers[2], acknowledged_ms))
}

/// DRAIN: a request reaches a server later than the time for draining after all gates acknowledged that it is gone.
fn is_broken(record: &Record, server: &Server, acknowledged_ms: u64) -> bool {
    let limit_ms = acknowledged_ms + DRAIN_MS;
    let runs = server.runs.lock().unwrap();
    let late: Vec<u64> = runs.iter().map(|run| run.began_ms).filter(|ms| *ms > limit_ms).collect();
    let is_broken = !late.is_empty();
    record.result(&format!(
        "all gates knew at {acknowledged_ms} ms that m3 is gone; {} requests reached it after {limit_ms} ms, from {} to {} \
         ms: {}",
        late.len(),
        late.first().copied().unwrap_or_default(),
        late.last().copied().unwrap_or_default(),
        if is_broken { "DRAIN is broken" } else { "DRAIN holds" }
    ));
    is_broken
}
