//! One answer of one model server goes on without end: empty lines in place of events.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::client::{Clients, Sent};
use crate::gate::{self, Folder};
use crate::http::{Channel, Head};
use crate::record::Record;
use crate::runner::{Behavior, Plain, Server};
use crate::store::Store;

const EVENTS: u64 = 20;
const FIRST_EVENT: Duration = Duration::from_millis(100);
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The timeout of the plain routes, and how much later an answer may come.
const TIMEOUT_MS: u64 = 800;
const SLACK_MS: u64 = 500;

/// Fewer requests that reach their timeout show nothing.
const MIN_REQUESTS: usize = 8;

/// Before this the machines are not in touch.
const CALM: Duration = Duration::from_secs(6);
const REST: Duration = Duration::from_secs(20);

struct Model {
    /// Set when the next answer is to go on without end.
    is_due: Arc<AtomicBool>,
}

impl Behavior for Model {
    fn run(&self, server: &Server, head: &Head, run: usize, channel: &mut Channel) -> Option<()> {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            server.sealed(head)
        );
        if !channel.wait_open(FIRST_EVENT) {
            return None;
        }
        channel.send(answer.as_bytes()).ok()?;
        if self.is_due.swap(false, Ordering::SeqCst) {
            let id = &server.id;
            server.record.note(&format!("{id} sends bytes without end"));
            return send_without_end(channel);
        }
        for number in 1..=EVENTS {
            server.send_event(channel, run, number)?;
            if !channel.wait_open(EVENT_INTERVAL) {
                return None;
            }
        }
        channel.send(b"0\r\n\r\n").ok()
    }
}

/// Sends empty lines until the caller closes.
fn send_without_end(channel: &mut Channel) -> Option<()> {
    let lines = "\n".repeat(16 << 10);
    let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
    loop {
        channel.send(chunk.as_bytes()).ok()?;
    }
}

pub fn play(record: &Record, is_troubled: bool) -> std::io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start(record)?;
    store.write("config", "main", include_str!("config.json").trim());
    let is_due = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for id in ["m1", "m2", "m3"] {
        let is_due = is_due.clone();
        servers.push(Server::start(id, "seat-model", record, Box::new(Model { is_due }))?);
    }
    for id in ["d1", "d2"] {
        let work = Duration::from_millis(15);
        servers.push(Server::start(id, "seat-desk", record, Box::new(Plain { work }))?);
    }
    for server in &servers {
        server.register(&store);
    }
    let mut gates = gate::start(2, store.addr, Path::new(&folder.0))?;
    let clients = Clients::new(record);
    let mut threads = Vec::new();
    for (index, gate) in gates.iter().enumerate() {
        for _ in 0..4 {
            threads.push(clients.send_plain(index, gate.callers, Duration::from_millis(100)));
        }
        threads.push(clients.send_streams(index, gate.callers, Duration::from_millis(300)));
        threads.push(ask_ready(record, gate, &clients));
    }
    std::thread::sleep(CALM);
    let struck_ms = record.ms();
    is_due.store(is_troubled, Ordering::SeqCst);
    std::thread::sleep(REST);
    clients.stop();
    for thread in threads {
        let _ = thread.join();
    }
    if gates.iter_mut().any(|gate| gate.has_ended()) {
        record.result("a gate has ended by itself");
        return Ok(true);
    }
    Ok(is_broken(record, &clients.sent.lock().unwrap(), struck_ms))
}

/// Asks once a second whether a gate is ready, as the platform does.
fn ask_ready(
    record: &Record,
    gate: &gate::Gate,
    clients: &Clients,
) -> std::thread::JoinHandle<()> {
    let (record, name, addr, clients) = (record.clone(), gate.name.clone(), gate.ready, clients.clone());
    std::thread::spawn(move || {
        while !clients.is_stopped() {
            let is_ready = gate::is_ready(addr, Duration::from_secs(1));
            if !is_ready {
                record.note(&format!("{name} does not answer whether it is ready"));
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    })
}

/// CONFIG: of the requests that are unanswered at their route's timeout, more than half have no answer half a
/// second later. All gates are in touch.
fn is_broken(record: &Record, sent: &[Sent], struck_ms: u64) -> bool {
    let plain: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.class != "plan" && sent.sent_ms >= struck_ms)
        .collect();
    let is_unanswered = |sent: &&&Sent, ms: u64| match sent.answered {
        Some((answered_ms, _)) => answered_ms > sent.sent_ms + ms,
        None => true,
    };
    let at_timeout = plain.iter().filter(|sent| is_unanswered(sent, TIMEOUT_MS)).count();
    let late = plain
        .iter()
        .filter(|sent| is_unanswered(sent, TIMEOUT_MS + SLACK_MS))
        .count();
    let is_broken = at_timeout >= MIN_REQUESTS && 2 * late > at_timeout;
    record.result(&format!(
        "{} plain requests after {struck_ms} ms, {at_timeout} unanswered at {TIMEOUT_MS} ms, {late} of them \
         {SLACK_MS} ms later: {}",
        plain.len(),
        if is_broken { "CONFIG is broken" } else { "CONFIG holds" }
    ));
    is_broken
}
