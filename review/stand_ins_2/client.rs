//! Clients, after the users' pages.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::record::Record;
use crate::wire::wire;

const API_KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The time budget of plain requests and of streams.
const PLAIN_BUDGET: Duration = Duration::from_millis(1_500);
const STREAM_BUDGET: Duration = Duration::from_millis(25_000);
const READING_BUDGET: Duration = Duration::from_millis(20_000);

/// A new channel is given this long.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// The gap after which clients abandon a stream: the longest of two seconds, four times the objective of 2 s and
/// eight times the pause of 0.8 s.
const PATIENCE: Duration = Duration::from_secs(8);

/// One client attempt.
#[derive(Clone)]
pub struct Sent {
    pub class: &'static str,
    pub sent_ms: u64,
    pub attempt: String,
    /// Whether the channel was kept from an earlier request.
    pub is_kept: bool,
    /// When the whole answer was there, and its status.
    pub answered: Option<(u64, u16)>,
}

#[derive(Clone)]
pub struct Clients {
    pub record: Record,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Clients {
    pub fn new(record: &Record) -> Clients {
        Clients {
            record: record.clone(),
            sent: Arc::default(),
            stop: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    pub fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    fn attempt(&self) -> String {
        format!("{:016x}", 0x9c41_0000 + self.next.fetch_add(1, Ordering::SeqCst))
    }

    fn record_sent(
        &self,
        gate: usize,
        class: &'static str,
        attempt: &str,
        is_kept: bool,
    ) -> usize {
        self.record.note(&format!("client sends {attempt} {class} to gate {}", gate + 1));
        let mut sent = self.sent.lock().unwrap();
        sent.push(Sent {
            class,
            sent_ms: self.record.ms(),
            attempt: attempt.to_owned(),
            is_kept,
            answered: None,
        });
        sent.len() - 1
    }

    fn record_answer(&self, number: usize, attempt: &str, answer: std::io::Result<u16>) {
        let ms = self.record.ms();
        match answer {
            Ok(status) => {
                self.record.note(&format!("client gets {attempt} status {status}"));
                self.sent.lock().unwrap()[number].answered = Some((ms, status));
            }
            Err(err) => self.record.note(&format!("client leaves {attempt}: {err}")),
        }
    }

    /// Sends plain requests on one kept channel, a pause after each answer, until told to stop.
    pub fn send_plain(&self, gate: usize, addr: SocketAddr, pause: Duration) -> JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            let mut channel = None;
            let mut is_lookup = false;
            while !clients.stop.load(Ordering::SeqCst) {
                is_lookup = !is_lookup;
                let class = if is_lookup { "lookup" } else { "confirm" };
                clients.plain(gate, addr, class, &mut channel);
                std::thread::sleep(pause);
            }
        })
    }

    fn plain(
        &self,
        gate: usize,
        addr: SocketAddr,
        class: &'static str,
        kept: &mut Option<Channel>,
    ) {
        let attempt = self.attempt();
        let is_kept = kept.is_some();
        let mut channel = match kept.take() {
            Some(channel) => channel,
            None => match TcpStream::connect_timeout(&addr, CONNECT_TIME) {
                Ok(stream) => Channel::new(stream),
                Err(err) => {
                    self.record.note(&format!("client gets no channel to gate {}: {err}", gate + 1));
                    return;
                }
            },
        };
        let number = self.record_sent(gate, class, &attempt, is_kept);
        let (method, body) = match class {
            "lookup" => ("GET", ""),
            _ => ("POST", "seat 12, row 4"),
        };
        let budget_ms = PLAIN_BUDGET.as_millis();
        let request = format!(
            "{method} /{class}/2f HTTP/1.1\r\nHost: seats.example\r\n{}: {attempt}\r\n\
             {}: {budget_ms}\r\n{}: {API_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            wire("attempt-id"),
            wire("budget"),
            wire("key"),
            body.len()
        );
        let deadline = Instant::now() + PLAIN_BUDGET;
        let mut exchange = || {
            channel.send(request.as_bytes())?;
            let head = channel.read_head(deadline)?;
            channel.read_body(&head, deadline)?;
            Ok((head.status(), head.closes()))
        };
        let answer: std::io::Result<(u16, bool)> = exchange();
        if matches!(answer, Ok((_, false))) {
            *kept = Some(channel);
        }
        self.record_answer(number, &attempt, answer.map(|(status, _)| status));
    }

    /// Sends requests for streams, each on a new channel, a pause after each answer, until told to stop.
    pub fn send_streams(&self, gate: usize, addr: SocketAddr, pause: Duration) -> JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            while !clients.stop.load(Ordering::SeqCst) {
                let attempt = clients.attempt();
                let number = clients.record_sent(gate, "plan", &attempt, false);
                let answer = clients.stream(addr, &attempt);
                clients.record_answer(number, &attempt, answer);
                std::thread::sleep(pause);
            }
        })
    }

    /// Sends requests for streams that may run once only on one kept channel, a pause after each answer, until told
    /// to stop.
    pub fn send_readings(&self, gate: usize, addr: SocketAddr, pause: Duration) -> JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            let mut channel = None;
            while !clients.stop.load(Ordering::SeqCst) {
                clients.reading(gate, addr, &mut channel);
                std::thread::sleep(pause);
            }
        })
    }

    fn reading(&self, gate: usize, addr: SocketAddr, kept: &mut Option<Channel>) {
        let attempt = self.attempt();
        let is_kept = kept.is_some();
        let mut channel = match kept.take() {
            Some(channel) => channel,
            None => match TcpStream::connect_timeout(&addr, CONNECT_TIME) {
                Ok(stream) => Channel::new(stream),
                Err(err) => {
                    self.record.note(&format!("client gets no channel to gate {}: {err}", gate + 1));
                    return;
                }
            },
        };
        let number = self.record_sent(gate, "reading", &attempt, is_kept);
        let deadline = Instant::now() + READING_BUDGET;
        let mut exchange = || {
            channel.send(stream_request("reading", &attempt, READING_BUDGET).as_bytes())?;
            let head = channel.read_head(deadline)?;
            loop {
                if !head.is_chunked() {
                    channel.read_body(&head, deadline)?;
                    break;
                }
                let patience = deadline.min(Instant::now() + PATIENCE);
                if channel.read_chunk(patience)?.is_empty() {
                    break;
                }
            }
            Ok((head.status(), head.closes()))
        };
        let answer: std::io::Result<(u16, bool)> = exchange();
        if matches!(answer, Ok((_, false))) {
            *kept = Some(channel);
        }
        self.record_answer(number, &attempt, answer.map(|(status, _)| status));
    }

    /// Reads a stream to its end, or until no event has come for too long.
    pub fn stream(&self, addr: SocketAddr, attempt: &str) -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIME)?;
        let request = stream_request("plan", attempt, STREAM_BUDGET);
        std::io::Write::write_all(&mut stream, request.as_bytes())?;
        let deadline = Instant::now() + STREAM_BUDGET;
        let mut event_at = Instant::now();
        let mut status = 0;
        let mut part = vec![0; 256 << 10];
        // The end of what was read before, as what is searched for may be split.
        let mut tail: Vec<u8> = Vec::new();
        loop {
            let left = deadline.min(event_at + PATIENCE).saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
            let count = stream.read(&mut part)?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            tail.extend_from_slice(&part[..count]);
            if status == 0 && tail.len() >= 12 {
                status = String::from_utf8_lossy(&tail[9..12]).parse().unwrap_or(0);
                if status != 200 {
                    return Ok(status);
                }
            }
            if contains(&tail, b"\nid: ") {
                event_at = Instant::now();
            }
            if tail.ends_with(b"\r\n0\r\n\r\n") {
                return Ok(status);
            }
            let keep = tail.len().min(16);
            tail.drain(..tail.len() - keep);
            // Found once, it is not to be found again.
            if contains(&tail, b"\nid: ") {
                tail.drain(..2);
            }
        }
    }
}

/// Returns a request for a stream.
fn stream_request(class: &str, attempt: &str, budget: Duration) -> String {
    let body = "plan the seats";
    format!(
        "POST /{class}/2f HTTP/1.1\r\nHost: seats.example\r\n{}: {attempt}\r\n{}: {}\r\n\
         {}: {API_KEY}\r\n{}: m2\r\n{}: 5380,150\r\n\
         {}: 5c1e07a2:512,91bd3f06:4868,{attempt}:1230\r\nContent-Length: {}\r\n\r\n{body}",
        wire("attempt-id"),
        wire("budget"),
        budget.as_millis(),
        wire("key"),
        wire("model"),
        wire("usage"),
        wire("prefix"),
        body.len()
    )
}

fn contains(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|part| part == wanted)
}
