//! Model servers and plain servers, after the users' pages.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Channel, Head};
use crate::record::Record;
use crate::store::Store;
use crate::wire::wire;

const ENTRY: &str = include_str!("server.json");

/// A run of a request.
#[derive(Clone)]
pub struct Run {
    pub server: String,
    pub attempt: String,
    pub began_ms: u64,
    /// The event after which it goes on.
    pub after: Option<u64>,
    /// When each event was made.
    pub events_ms: Vec<u64>,
    /// When it ended, by itself or as its channel was closed.
    pub ended_ms: Option<u64>,
}

/// What a server does with a request.
pub trait Behavior: Send + Sync {
    fn run(&self, server: &Server, head: &Head, run: usize, channel: &mut Channel) -> Option<()>;
}

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub version: String,
    pub born_ms: u64,
    pub runs: Mutex<Vec<Run>>,
    pub record: Record,
    /// Whether the process has ended: nothing is accepted or answered any more.
    has_ended: AtomicBool,
    /// Whether it says in all its answers that it leaves.
    leaves: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    behavior: Box<dyn Behavior>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        behavior: Box<dyn Behavior>,
    ) -> std::io::Result<Arc<Server>> {
        Server::start_version(id, service, "v1", record, behavior)
    }

    pub fn start_version(
        id: &str,
        service: &str,
        version: &str,
        record: &Record,
        behavior: Box<dyn Behavior>,
    ) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Server {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            service: service.to_owned(),
            version: version.to_owned(),
            born_ms: born.map_or(0, |born| born.as_millis() as u64),
            runs: Mutex::default(),
            record: record.clone(),
            has_ended: AtomicBool::new(false),
            leaves: AtomicBool::new(false),
            open: Mutex::default(),
            behavior,
        });
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_ended() {
                    return;
                }
                let server = shared.clone();
                if let Ok(clone) = stream.try_clone() {
                    server.open.lock().unwrap().push(clone);
                }
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Returns the entry that the server writes of itself.
    pub fn entry(&self) -> String {
        let slots = if self.service == "seat-model" { 128 } else { 6 };
        ENTRY
            .trim()
            .replace("@service", &self.service)
            .replace("@address", &self.addr.to_string())
            .replace("@version", &self.version)
            .replace("@slots", &slots.to_string())
            .replace("@born", &self.born_ms.to_string())
    }

    pub fn register(&self, store: &Store) {
        store.write("servers", &self.id, &self.entry());
    }

    /// Ends the process: its connections are closed, and its port refuses new ones.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts, which drops the listener.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }

    /// Says in all further answers that it leaves.
    pub fn leave(&self) {
        self.leaves.store(true, Ordering::SeqCst);
    }

    /// Returns whether a request awaits its first event.
    pub fn is_awaited(&self) -> bool {
        let runs = self.runs.lock().unwrap();
        runs.iter().any(|run| run.ended_ms.is_none() && run.events_ms.is_empty())
    }

    fn leaving_field(&self) -> String {
        if self.leaves.load(Ordering::SeqCst) {
            format!("{}: 1\r\n", wire("leaving"))
        } else {
            String::new()
        }
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut channel = Channel::new(stream);
        loop {
            let deadline = Instant::now() + Duration::from_secs(30);
            let head = channel.read_head(deadline).ok()?;
            channel.read_body(&head, deadline).ok()?;
            if self.has_ended() {
                return None;
            }
            if head.target() == wire("health-path") {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{}: {}\r\n{}Content-Length: 0\r\n\r\n",
                    wire("instance"),
                    self.id,
                    self.leaving_field()
                );
                channel.send(answer.as_bytes()).ok()?;
                continue;
            }
            if head.target() == wire("report-path") {
                let body = format!("{{\"stage\":\"both\",\"busy\":false,\"born\":{}}}", self.born_ms);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{}: {}\r\n{}Content-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    wire("instance"),
                    self.id,
                    self.leaving_field(),
                    body.len()
                );
                channel.send(answer.as_bytes()).ok()?;
                continue;
            }
            let attempt = head.field(wire("attempt-id"))?.to_owned();
            if head.field(wire("target")).is_some_and(|id| id != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{}: {}\r\n{}: {attempt}\r\n\
                     Content-Length: 0\r\n\r\n",
                    wire("instance"),
                    self.id,
                    wire("attempt-id")
                );
                channel.send(answer.as_bytes()).ok()?;
                continue;
            }
            let after = head.field(wire("resume-after"));
            let run = Run {
                server: self.id.clone(),
                attempt: attempt.clone(),
                began_ms: self.record.ms(),
                after: after.and_then(|text| text.parse().ok()),
                events_ms: Vec::new(),
                ended_ms: None,
            };
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(run);
                runs.len() - 1
            };
            let id = &self.id;
            let from = after.map_or(String::new(), |after| format!(" after event {after}"));
            self.record.note(&format!("{id} runs {attempt}{from}"));
            let done = self.behavior.run(self, &head, number, &mut channel);
            self.runs.lock().unwrap()[number].ended_ms = Some(self.record.ms());
            let how = if done.is_some() { "ends" } else { "drops" };
            self.record.note(&format!("{id} {how} {attempt}"));
            done?;
        }
    }

    /// Returns the fields by which a server vouches for its answer.
    pub fn sealed(&self, head: &Head) -> String {
        let attempt = head.field(wire("attempt-id")).unwrap_or_default();
        format!(
            "{}: {attempt}\r\n{}: {attempt}.{}\r\n{}",
            wire("attempt-id"),
            wire("seal"),
            self.id,
            self.leaving_field()
        )
    }

    /// Makes the next event of a run and sends it as a chunk.
    pub fn send_event(&self, channel: &mut Channel, run: usize, number: u64) -> Option<()> {
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(40));
        self.runs.lock().unwrap()[run].events_ms.push(self.record.ms());
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        channel.send(chunk.as_bytes()).ok()
    }
}

/// Answers after some work.
pub struct Plain {
    pub work: Duration,
}

impl Behavior for Plain {
    fn run(&self, server: &Server, head: &Head, _run: usize, channel: &mut Channel) -> Option<()> {
        std::thread::sleep(self.work);
        let body = "y".repeat(800);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}",
            server.sealed(head),
            body.len()
        );
        channel.send(answer.as_bytes()).ok()
    }
}
