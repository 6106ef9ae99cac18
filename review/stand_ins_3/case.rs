//! The cases.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::endpoint::{Config, Endpoint};
use crate::gate::{self, Folder};
use crate::note;
use crate::path;
use crate::store::Store;
use crate::wire;

/// Runs a case, and returns whether the rule was broken.
pub fn run(number: &str, has_trouble: bool) -> Result<bool, String> {
    match number {
        "11" => late_body(has_trouble),
        "12" => wrong_model(has_trouble),
        "13" => cut_path(has_trouble),
        "14" => head_request(has_trouble),
        "15" => early_head(has_trouble),
        "lost-end" => lost_end(has_trouble),
        "late-stream" => late_stream(has_trouble),
        _ => Err(format!("there is no case {number}")),
    }
}

fn config(id: &str) -> Config {
    Config {
        id: id.to_owned(),
        receive_buffer: None,
        head_chunk: 8192,
    }
}

const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(300);

/// Answers before it has read a long body, and reads on later. The answer is in chunks, or ends with its channel.
fn answer_first(
    has_trouble: bool,
    is_chunked: bool,
    endpoint: &Endpoint,
    mut stream: &TcpStream,
    mut message: wire::Message,
) -> io::Result<()> {
    let id = message.field(wire::name("attempt")).unwrap_or("").to_owned();
    if !has_trouble {
        wire::read_body(stream, &mut message)?;
    }
    let head = endpoint.success(&message);
    let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
    write!(stream, "{head}Content-Type: text/event-stream\r\n{framing}\r\n")?;
    let send = |mut stream: &TcpStream, text: String| match is_chunked {
        true => write!(stream, "{:x}\r\n{text}\r\n", text.len()),
        false => write!(stream, "{text}"),
    };
    let mut reading = None;
    for number in 1..=EVENTS {
        send(stream, format!("id: {number}\ndata: {}\n\n", "x".repeat(40)))?;
        std::thread::sleep(EVENT_INTERVAL);
        if has_trouble && number == EVENTS * 3 / 4 {
            let mut reader = stream.try_clone()?;
            let mut left = message.length() - message.rest.len();
            reading = Some(std::thread::spawn(move || {
                let mut buffer = [0; 1024];
                while left > 0 {
                    match reader.read(&mut buffer) {
                        Ok(0) | Err(_) => break,
                        Ok(count) => left -= count.min(left),
                    }
                }
                left
            }));
        }
    }
    if is_chunked {
        write!(stream, "0\r\n\r\n")?;
    }
    let left = reading.map_or(0, |reading| reading.join().unwrap_or(0));
    note(&format!("{} made all {EVENTS} events of {id}, {left} bytes of its body unread", endpoint.id));
    Ok(())
}

/// Starts runners with small windows that answer first.
fn start_late_readers(has_trouble: bool, is_chunked: bool) -> Vec<(&'static str, Arc<Endpoint>)> {
    ["i-m1", "i-m2"]
        .iter()
        .map(|id| {
            let config = Config {
                receive_buffer: Some(2048),
                head_chunk: 256,
                ..config(id)
            };
            let endpoint = Endpoint::start(config, move |endpoint, stream, message| {
                answer_first(has_trouble, is_chunked, endpoint, stream, message)
            });
            ("model", endpoint)
        })
        .collect()
}

/// Bytes of the body of a draft.
const DRAFT_BYTES: usize = 12_000;

/// Runners answer before they have read a long body, and read on later. Their answers end with their channels. Returns
/// whether streams ended as complete before their last event.
fn late_body(has_trouble: bool) -> Result<bool, String> {
    let folder = Folder::new();
    let store = Store::start();
    let endpoints = start_late_readers(has_trouble, false);
    store.configure(1, 5_000);
    for (service, endpoint) in &endpoints {
        store.register(&endpoint.id, service, endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, 2, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut calls = Vec::new();
    for number in 0..6 {
        let addr = gates[number % gates.len()].addrs.callers;
        calls.push(std::thread::spawn(move || {
            let id = format!("a{number:015}");
            let request = Request {
                method: "POST",
                path: "/draft/1",
                id: &id,
                deadline_ms: 25_000,
                fields: &prompt_fields("small", number),
                body: &[b'p'; DRAFT_BYTES],
            };
            note(&format!("client sends {id}"));
            let answer = client::call(addr, &request);
            note(&format!(
                "client got {id}: status {}, last event {:?}, complete {}, {:?}",
                answer.status(),
                answer.last_event(),
                answer.is_complete,
                answer.error
            ));
            answer.status() == 200 && answer.is_complete && answer.last_event() != Some(EVENTS)
        }));
    }
    let broken = calls.into_iter().filter_map(|call| call.join().ok());
    let broken = broken.filter(|is_broken| *is_broken).count();
    note(&format!("{broken} streams ended as complete before their last event"));
    Ok(broken > 0)
}

/// As above, with answers in chunks, beside requests of other kinds. Returns whether a kind was served too seldom.
fn late_stream(has_trouble: bool) -> Result<bool, String> {
    const LENGTH: Duration = Duration::from_secs(20);
    let folder = Folder::new();
    let store = Store::start();
    let mut endpoints = start_late_readers(has_trouble, true);
    for id in ["i-a1", "i-a2"] {
        endpoints.push(("app", Endpoint::start(config(id), answer)));
    }
    store.configure(1, 5_000);
    for (service, endpoint) in &endpoints {
        store.register(&endpoint.id, service, endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, 2, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let addrs: Vec<_> = gates.iter().map(|gate| gate.addrs.callers).collect();
    let kinds = [
        ("draft", "POST", "/draft/1"),
        ("draft", "POST", "/draft/2"),
        ("draft", "POST", "/draft/3"),
        ("draft", "POST", "/draft/4"),
        ("print", "POST", "/print/1"),
        ("clear", "GET", "/clear/1"),
    ];
    is_starved(start_callers(&addrs, &kinds, LENGTH, DRAFT_BYTES))
}

/// The models that the configuration names.
const MODELS: [&str; 2] = ["small", "large"];

/// Answers like a runner that has these models, and like a plain service.
fn answer(endpoint: &Endpoint, mut stream: &TcpStream, mut message: wire::Message) -> io::Result<()> {
    wire::read_body(stream, &mut message)?;
    if message.line().1.starts_with("/digest/") {
        if !MODELS.contains(&message.field(wire::name("model")).unwrap_or("")) {
            let id = message.field(wire::name("attempt")).unwrap_or("");
            note(&format!("{} has no such model, 421 to {id}", endpoint.id));
            return endpoint.refuse(stream, &message, "421 Misdirected Request");
        }
        let head = endpoint.success(&message);
        write!(stream, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        if message.line().0 == "HEAD" {
            return Ok(());
        }
        for number in 1..=4 {
            std::thread::sleep(Duration::from_millis(20));
            let event = format!("id: {number}\ndata: word\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        return write!(stream, "0\r\n\r\n");
    }
    std::thread::sleep(Duration::from_millis(15));
    let head = endpoint.success(&message);
    write!(stream, "{head}Content-Length: 4\r\n\r\ndone")
}

/// Kinds of requests, with their methods and paths.
const KINDS: [(&str, &str, &str); 3] = [
    ("digest", "POST", "/digest/1"),
    ("print", "POST", "/print/1"),
    ("clear", "GET", "/clear/1"),
];

fn prompt_fields(model: &str, last: usize) -> String {
    format!(
        "{}: {model}\r\n{}: 6610,400\r\n{}: 5c1e07a2:5000,{last:x}:1610\r\n",
        wire::name("model"),
        wire::name("usage"),
        wire::name("prefix")
    )
}

/// How long a client waits for the first event of a stream: eight times the pause, or four times the objective.
const PATIENCE: Duration = Duration::from_secs(8);

/// A caller of one kind of requests, which returns the kind and how many were sent and served.
type Caller = JoinHandle<(&'static str, usize, usize)>;

/// Starts a caller of each kind, which sends one request after the other, with a body of some bytes if it sends any.
fn start_callers(
    addrs: &[SocketAddr],
    kinds: &[(&'static str, &'static str, &'static str)],
    length: Duration,
    body_bytes: usize,
) -> Vec<Caller> {
    const INTERVAL: Duration = Duration::from_millis(250);
    let began = Instant::now();
    let mut callers = Vec::new();
    for (number, (kind, method, path)) in kinds.iter().copied().enumerate() {
        let addrs = addrs.to_vec();
        let body = match method {
            "GET" => Vec::new(),
            _ => vec![b'p'; body_bytes],
        };
        callers.push(std::thread::spawn(move || {
            let (mut sent, mut served) = (0, 0);
            while began.elapsed() < length {
                let id = format!("{kind}-{number}-{sent}");
                let last = number * 10_000 + sent;
                let fields = match kind {
                    "digest" => prompt_fields("*", last),
                    "notice" | "draft" => prompt_fields("small", last),
                    _ => String::new(),
                };
                let request = Request {
                    method,
                    path,
                    id: &id,
                    deadline_ms: if kind == "draft" { 25_000 } else { 20_000 },
                    fields: &fields,
                    body: &body,
                };
                let answer = client::call_within(addrs[sent % addrs.len()], &request, PATIENCE);
                let is_served = answer.status() == 200 && answer.is_complete;
                note(&format!(
                    "client got {id}: status {}, last event {:?}, complete {}, {:?}",
                    answer.status(),
                    answer.last_event(),
                    answer.is_complete,
                    answer.error
                ));
                sent += 1;
                served += usize::from(is_served);
                std::thread::sleep(INTERVAL);
            }
            (kind, sent, served)
        }));
    }
    callers
}

/// Returns whether a kind of requests was served less than a quarter as often as all.
fn is_starved(callers: Vec<Caller>) -> Result<bool, String> {
    let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for caller in callers {
        let (kind, sent, served) = caller.join().map_err(|_| "a client failed")?;
        let count = counts.entry(kind).or_default();
        *count = (count.0 + sent, count.1 + served);
    }
    let all_sent: usize = counts.values().map(|(sent, _)| sent).sum();
    let all_served: usize = counts.values().map(|(_, served)| served).sum();
    let all = all_served as f64 / all_sent as f64;
    note(&format!("all: {all_served} of {all_sent} served"));
    let mut is_broken = false;
    for (kind, (sent, served)) in counts {
        let share = served as f64 / sent as f64;
        note(&format!("{kind}: {served} of {sent} served"));
        is_broken |= share < all / 4.0;
    }
    Ok(is_broken)
}

/// A client names a model that there is not in some requests. Others go on as usual.
fn wrong_model(has_trouble: bool) -> Result<bool, String> {
    const LENGTH: Duration = Duration::from_secs(40);
    const TROUBLE_AFTER: Duration = Duration::from_secs(3);
    const WRONG: usize = 12;
    const WRONG_INTERVAL: Duration = Duration::from_millis(500);
    let folder = Folder::new();
    let store = Store::start();
    let endpoints: Vec<_> = ["i-m1", "i-m2", "i-m3", "i-a1", "i-a2"]
        .iter()
        .map(|id| Endpoint::start(config(id), answer))
        .collect();
    store.configure(1, 5_000);
    for endpoint in &endpoints {
        let service = if endpoint.id.contains('m') { "model" } else { "app" };
        store.register(&endpoint.id, service, endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, 2, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let addrs: Vec<_> = gates.iter().map(|gate| gate.addrs.callers).collect();
    let callers = start_callers(&addrs, &KINDS, LENGTH, 2);
    std::thread::sleep(TROUBLE_AFTER);
    for number in (0..WRONG).filter(|_| has_trouble) {
        let id = format!("wrong-{number}");
        let fields = prompt_fields("tiny", 7_000 + number);
        let request = Request {
            method: "POST",
            path: "/digest/1",
            id: &id,
            deadline_ms: 5_000,
            fields: &fields,
            body: b"{}",
        };
        let answer = client::call(addrs[number % addrs.len()], &request);
        note(&format!("client with a wrong model got {id}: status {}", answer.status()));
        std::thread::sleep(WRONG_INTERVAL);
    }
    is_starved(callers)
}

/// A client asks for the head of an answer on a channel, and then for another answer.
fn head_request(has_trouble: bool) -> Result<bool, String> {
    let folder = Folder::new();
    let store = Store::start();
    let endpoints: Vec<_> = ["i-m1", "i-m2", "i-a1", "i-a2"]
        .iter()
        .map(|id| Endpoint::start(config(id), answer))
        .collect();
    store.configure(1, 5_000);
    for endpoint in &endpoints {
        let service = if endpoint.id.contains('m') { "model" } else { "app" };
        store.register(&endpoint.id, service, endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, 2, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut spoiled = 0;
    for number in 0..6 {
        let failed = |err: io::Error| err.to_string();
        let stream = client::connect(gates[number % gates.len()].addrs.callers).map_err(failed)?;
        let id = format!("h{number}-first");
        let fields = prompt_fields("*", number);
        let first = Request {
            method: if has_trouble { "HEAD" } else { "POST" },
            path: "/digest/1",
            id: &id,
            deadline_ms: 5_000,
            fields: &fields,
            body: b"",
        };
        first.send(&stream).map_err(failed)?;
        let status = if has_trouble {
            // There is no body, whatever the head says of one.
            let message = wire::read_head(&stream, Vec::new(), 1).map_err(failed)?;
            message.status()
        } else {
            client::read(&stream, (1, Duration::ZERO)).status()
        };
        note(&format!("client got {id}, {}: status {status}", first.method));
        if status != 200 {
            return Err("the first request was not served".to_owned());
        }
        // What follows may only be the answer to the next request.
        std::thread::sleep(Duration::from_millis(200));
        let id = format!("h{number}-second");
        let second = Request {
            method: "GET",
            path: "/clear/1",
            id: &id,
            deadline_ms: 5_000,
            fields: "",
            body: b"",
        };
        second.send(&stream).map_err(failed)?;
        let message = wire::read_head(&stream, Vec::new(), 1).map_err(failed)?;
        let line = message.head.lines().next().unwrap_or("").to_owned();
        note(&format!("client got {id}: first line {line:?}"));
        spoiled += usize::from(!line.starts_with("HTTP/1.1 "));
    }
    note(&format!("{spoiled} of 6 channels brought bytes that are no answer"));
    Ok(spoiled > 0)
}

/// One of three runners breaks some of its streams off between the last event and the end. The others are sound, and
/// say that nothing follows when they are asked to go on.
fn lost_end(has_trouble: bool) -> Result<bool, String> {
    const LENGTH: Duration = Duration::from_secs(60);
    const CALLERS: usize = 8;
    /// The faulty runner breaks off one in so many of its answers.
    const BROKEN_EVERY: u64 = 50;
    const EVENTS: u64 = 6;
    let folder = Folder::new();
    let store = Store::start();
    let run = move |endpoint: &Endpoint, mut stream: &TcpStream, mut message: wire::Message| {
        wire::read_body(stream, &mut message)?;
        let id = message.field(wire::name("attempt")).unwrap_or("").to_owned();
        let run_number = endpoint.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let head = endpoint.success(&message);
        write!(stream, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let after = message.field(wire::name("resume")).and_then(|text| text.parse().ok());
        let after = after.unwrap_or(0);
        for number in after + 1..=EVENTS {
            std::thread::sleep(Duration::from_millis(20));
            let event = format!("id: {number}\ndata: word\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        if has_trouble && endpoint.id == "i-m1" && run_number % BROKEN_EVERY == 0 {
            note(&format!("{} breaks {id} off after event {EVENTS}", endpoint.id));
            return Ok(());
        }
        if after > 0 {
            note(&format!("{} goes on with {id} after event {after}, to its end", endpoint.id));
        }
        write!(stream, "0\r\n\r\n")
    };
    let endpoints: Vec<_> = ["i-m1", "i-m2", "i-m3"]
        .iter()
        .map(|id| Endpoint::start(config(id), run))
        .collect();
    store.configure(1, 5_000);
    for endpoint in &endpoints {
        store.register(&endpoint.id, "model", endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, 2, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let addr = gates[caller % gates.len()].addrs.callers;
        callers.push(std::thread::spawn(move || {
            let (mut sent, mut lost) = (0, 0);
            let mut kept = None;
            while began.elapsed() < LENGTH {
                let is_kept = kept.is_some();
                let Ok(stream) = kept.take().map_or_else(|| client::connect(addr), Ok) else {
                    std::thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let id = format!("c{caller}-{sent}");
                let fields = prompt_fields("small", caller * 10_000 + sent);
                let request = Request {
                    method: "POST",
                    path: "/notice/1",
                    id: &id,
                    deadline_ms: 20_000,
                    fields: &fields,
                    body: b"{}",
                };
                sent += 1;
                if request.send(&stream).is_err() {
                    continue;
                }
                let answer = client::read(&stream, (8192, Duration::ZERO));
                if answer.is_complete {
                    kept = Some(stream);
                } else {
                    note(&format!(
                        "client got {id}: status {}, last event {:?}, complete false, kept channel {is_kept}, {:?}",
                        answer.status(),
                        answer.last_event(),
                        answer.error
                    ));
                    lost += usize::from(is_kept && answer.last_event() == Some(EVENTS));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            (sent, lost)
        }));
    }
    let (mut sent, mut lost) = (0, 0);
    for caller in callers {
        let counts = caller.join().map_err(|_| "a client failed")?;
        sent += counts.0;
        lost += counts.1;
    }
    note(&format!("{sent} requests; {lost} kept channels were closed although a sound runner had said that nothing follows"));
    Ok(lost > 3)
}

/// Runners begin their answers before they have read a long body, and make their events once they have read it.
fn early_head(has_trouble: bool) -> Result<bool, String> {
    const BODY_BYTES: usize = 1 << 20;
    const EVENTS: u64 = 6;
    const LENGTH: Duration = Duration::from_secs(60);
    let folder = Folder::new();
    let store = Store::start();
    let run = move |endpoint: &Endpoint, mut stream: &TcpStream, mut message: wire::Message| {
        let id = message.field(wire::name("attempt")).unwrap_or("").to_owned();
        if !has_trouble {
            wire::read_body(stream, &mut message)?;
        }
        let head = endpoint.success(&message);
        write!(stream, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        if has_trouble {
            std::thread::sleep(Duration::from_millis(50));
            wire::read_body(stream, &mut message)?;
            note(&format!("{} has read the body of {id}", endpoint.id));
        }
        for number in 1..=EVENTS {
            std::thread::sleep(Duration::from_millis(20));
            let event = format!("id: {number}\ndata: word\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        write!(stream, "0\r\n\r\n")
    };
    let mut endpoints = Vec::new();
    for id in ["i-m1", "i-m2", "i-m3"] {
        endpoints.push(("model", Endpoint::start(config(id), run)));
    }
    for id in ["i-a1", "i-a2"] {
        endpoints.push(("app", Endpoint::start(config(id), answer)));
    }
    store.configure(1, 5_000);
    for (service, endpoint) in &endpoints {
        store.register(&endpoint.id, service, endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, 2, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let addrs: Vec<_> = gates.iter().map(|gate| gate.addrs.callers).collect();
    let kinds = [
        ("notice", "POST", "/notice/1"),
        ("notice", "POST", "/notice/2"),
        ("print", "POST", "/print/1"),
        ("clear", "GET", "/clear/1"),
    ];
    is_starved(start_callers(&addrs, &kinds, LENGTH, BODY_BYTES))
}

/// One of four gates is cut off from all endpoints: its path accepts its connections and resets them. Returns whether
/// first tries are served too seldom there from some time after the begin of the cut until its end.
fn cut_path(has_trouble: bool) -> Result<bool, String> {
    const GATES: usize = 4;
    const LENGTH: Duration = Duration::from_secs(16);
    const CUT_AFTER: Duration = Duration::from_secs(6);
    const CUT_FOR: Duration = Duration::from_secs(5);
    const STABLE_WINDOW: Duration = Duration::from_secs(3);
    let folder = Folder::new();
    let store = Store::start();
    let endpoints: Vec<_> = ["i-m1", "i-m2", "i-m3", "i-a1", "i-a2", "i-a3"]
        .iter()
        .map(|id| Endpoint::start(config(id), answer))
        .collect();
    store.configure(1, 5_000);
    for endpoint in &endpoints {
        let service = if endpoint.id.contains('m') { "model" } else { "app" };
        store.register(&endpoint.id, service, endpoint.addr, endpoint.born, "ready");
    }
    let gates = gate::start(&store, GATES, &folder)?;
    std::thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut callers = Vec::new();
    for (gate, addr) in gates.iter().map(|gate| gate.addrs.callers).enumerate() {
        for (caller, kind) in [KINDS[0], KINDS[0], KINDS[1], KINDS[2]].into_iter().enumerate() {
            let call = move || first_tries(addr, kind, gate * 10 + caller, began, LENGTH);
            callers.push((gate, std::thread::spawn(call)));
        }
    }
    std::thread::sleep(CUT_AFTER);
    let cut_at = began.elapsed();
    if has_trouble {
        path::set_cut(Some(gates[0].child.id()));
        note("gate-0 is cut off from all endpoints");
    }
    std::thread::sleep(CUT_FOR);
    path::set_cut(None);
    let healed_at = began.elapsed();
    note("the cut has ended");
    let mut counts: BTreeMap<(bool, &str), (usize, usize)> = BTreeMap::new();
    for (gate, caller) in callers {
        let tries = caller.join().map_err(|_| "a client failed")?;
        for try_ in tries.iter().filter(|try_| (cut_at + STABLE_WINDOW..healed_at).contains(&try_.sent_at)) {
            for kind in [try_.kind, "all"] {
                let (sent, served) = counts.entry((gate == 0, kind)).or_default();
                *sent += 1;
                *served += usize::from(try_.is_served);
            }
        }
    }
    for ((is_cut, kind), (sent, served)) in &counts {
        let place = if *is_cut { "gate-0" } else { "the other gates" };
        note(&format!("{kind} at {place}: {served} of {sent} first tries served"));
    }
    let count = |is_cut| counts.get(&(is_cut, "all")).copied().ok_or("no first tries in the window");
    let ((sent, served), (others_sent, others_served)) = (count(true)?, count(false)?);
    let share = served as f64 / sent as f64;
    let others_share = others_served as f64 / others_sent as f64;
    let failed = (sent - served) as f64;
    Ok(share < others_share * 2.0 / 3.0 && failed > 10.0 + sent as f64 / 50.0)
}

/// The first try of a request.
struct FirstTry {
    kind: &'static str,
    sent_at: Duration,
    is_served: bool,
}

/// Sends one request of a kind after the other for some time from a begin, each once.
fn first_tries(
    addr: SocketAddr,
    (kind, method, path): (&'static str, &'static str, &'static str),
    caller: usize,
    began: Instant,
    length: Duration,
) -> Vec<FirstTry> {
    const INTERVAL: Duration = Duration::from_millis(100);
    let mut tries = Vec::new();
    while began.elapsed() < length {
        let id = format!("{kind}-{caller}-{}", tries.len());
        let fields = match kind {
            "digest" => prompt_fields("*", caller * 10_000 + tries.len()),
            _ => String::new(),
        };
        let request = Request {
            method,
            path,
            id: &id,
            deadline_ms: 20_000,
            fields: &fields,
            body: if method == "GET" { b"" } else { b"{}" },
        };
        let sent_at = began.elapsed();
        let answer = client::call_within(addr, &request, PATIENCE);
        note(&format!(
            "client got {id}: status {}, last event {:?}, complete {}, {:?}",
            answer.status(),
            answer.last_event(),
            answer.is_complete,
            answer.error
        ));
        tries.push(FirstTry {
            kind,
            sent_at,
            is_served: answer.status() == 200 && answer.is_complete,
        });
        std::thread::sleep(INTERVAL);
    }
    tries
}
